# Symptom: an accepted change is missing on a host, or comes undone.
# Sequence: operators race; the log is out, slow, or loses answers; records expire; hosts restart.
# Cause: hosts that take a view other than the log's order gives them.
. "$(dirname "$0")/../lib.sh"
stack --hosts 3 --endpoints 4 --log-retention 8

share()
{
	BRONZEGAUGE_CONTROL=$1 bgctl export | sed -n "s/^account $2 share \([0-9]*\).*/\1/p"
}

revision()
{
	http "http://$1/v1/status" | jq .revision
}

# Two operators change the same revision: one wins, the other is told.
now=$(revision "$CONTROL_0")
bgctl -e "$now" account farm share 5 >"$dir/a" 2>&1 &
a=$!
BRONZEGAUGE_CONTROL=$CONTROL_1 bgctl -e "$now" account farm share 6 >"$dir/b" 2>&1 &
b=$!
ra=0 rb=0
wait $a || ra=$?
wait $b || rb=$?
[ "$ra$rb" = 03 ] || [ "$ra$rb" = 30 ] || fail "both or neither won: $ra $rb"
cat "$dir/a" "$dir/b" | grep -q "expected revision $now" || fail "the loser is not told why"

# In force everywhere, and the whole of a file or nothing.
bgctl --wait account farm share 7 | grep -q 'in force everywhere' || fail "not in force"
bgctl export >"$dir/good"
sed 's/^account farm share 7/account farm share 9/; s/layers 0-15/layers 0-99/' "$dir/good" >"$dir/bad"
if bgctl apply "$dir/bad" >/dev/null 2>&1; then fail "a wrong file was accepted"; fi
[ "$(share "$CONTROL_0" farm)" = 7 ] || fail "a rejected file left something behind"
sed 's/^account farm share 7/account farm share 8/' "$dir/good" >"$dir/next"
[ "$(bgctl diff "$dir/next" | wc -l)" = 1 ] || fail "diff shows more than the change"
bgctl --wait apply "$dir/next" >/dev/null
[ "$(bgctl diff "$dir/next")" = "" ] || fail "apply did not make it so"

# An append whose answer is lost is accepted once.
now=$(revision "$CONTROL_0")
fault_platform '{"log":"lose"}'
bgctl account farm share 9 | grep -q accepted || fail "a lost answer was not looked for"
fault_platform '{"log":"ok"}'
[ "$(revision "$CONTROL_0")" = $((now + 1)) ] || fail "the change counted twice"

# The log is out: a change is not accepted, and what is in force stays, also over a restart that
# can only ask the others.
fault_platform '{"log":"out"}'
if bgctl account farm share 1 >"$dir/a" 2>&1; then fail "accepted without the log"; fi
grep -q 'not_accepted' "$dir/a" || fail "not told: $(cat "$dir/a")"
kill -KILL "$PID_CONTROL_1"
start control-1
has_revision()
{
	[ "$(revision "$1")" = "$2" ]
}
eventually "the restarted host has the state from a peer" has_revision "$CONTROL_1" $((now + 1))
[ "$(share "$CONTROL_1" farm)" = 9 ] || fail "reverted from a peer"
fault_platform '{"log":"ok"}'

# A host is frozen while a change is made and the records before it expire; it comes back and takes
# the new state, and never shows the old one as the newer.
kill -STOP "$PID_CONTROL_2"
bgctl account farm share 11 >/dev/null
first_offset()
{
	http "http://$PLATFORM/log/config?from=0" | jq .first
}
old_end=$(http "http://$PLATFORM/log/config?from=0" | jq .end)
expired()
{
	[ "$(first_offset)" -ge "$old_end" ]
}
eventually "the records have expired" expired
kill -CONT "$PID_CONTROL_2"
has_share()
{
	[ "$(share "$1" farm)" = "$2" ]
}
eventually "the stale host catches up" has_share "$CONTROL_2" 11
for c in $CONTROL_0 $CONTROL_1; do
	[ "$(share "$c" farm)" = 11 ] || fail "a stale host reverted another"
done

# All restart at once, after every record of the first changes has expired: the snapshot is enough.
kill -KILL "$PID_CONTROL_0" "$PID_CONTROL_1" "$PID_CONTROL_2"
start control-0
start control-1
start control-2
for c in $CONTROL_0 $CONTROL_1 $CONTROL_2; do
	eventually "all come back with the state" has_share "$c" 11
done
complete "$ENTRY_1" 4 after >"$dir/a"
whole "$(jq -r '.choices[0].text' "$dir/a")" 4
