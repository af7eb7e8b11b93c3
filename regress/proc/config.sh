# Symptom: an accepted configuration change is missing on a host, or is reverted.
# Sequence: operators change the same revision at the same time; the platform's log is
# unavailable, slow, or loses answers; records expire; hosts restart.
# Cause: a host applies changes in another order than that of the log.
. "$(dirname "$0")/../lib.sh"
start_stack --hosts 3 --endpoints 4 --log-retention 8

share()
{
	BRONZEGAUGE_CONTROL=$1 bgctl export | sed -n "s/^account $2 share \([0-9]*\).*/\1/p"
}

revision()
{
	http "http://$1/v1/status" | jq .revision
}

# Two operators change the same revision: one change is accepted, and the other operator gets an
# error.
now=$(revision "$CONTROL_0")
bgctl -e "$now" account farm share 5 >"$dir/a" 2>&1 &
a=$!
BRONZEGAUGE_CONTROL=$CONTROL_1 bgctl -e "$now" account farm share 6 >"$dir/b" 2>&1 &
b=$!
ra=0 rb=0
wait $a || ra=$?
wait $b || rb=$?
[ "$ra$rb" = 03 ] || [ "$ra$rb" = 30 ] || fail "expected one accepted change; exit statuses: $ra $rb"
cat "$dir/a" "$dir/b" | grep -q "expected revision $now" || fail "the rejected change has no reason"

# A change takes effect on all hosts. A file is applied completely, or not at all if a line is
# invalid.
bgctl --wait account farm share 7 | grep -q 'in force everywhere' || fail "not in force"
bgctl export >"$dir/good"
sed 's/^account farm share 7/account farm share 9/; s/layers 0-15/layers 0-99/' "$dir/good" >"$dir/bad"
if bgctl apply "$dir/bad" >/dev/null 2>&1; then fail "a wrong file was accepted"; fi
[ "$(share "$CONTROL_0" farm)" = 7 ] || fail "a rejected file changed the configuration"
sed 's/^account farm share 7/account farm share 8/' "$dir/good" >"$dir/next"
[ "$(bgctl diff "$dir/next" | wc -l)" = 1 ] || fail "diff shows more than the change"
bgctl --wait apply "$dir/next" >/dev/null
[ "$(bgctl diff "$dir/next")" = "" ] || fail "the configuration differs from the applied file"

# If the answer to an append is lost, the change is found in the log and counts once.
now=$(revision "$CONTROL_0")
inject_platform_fault '{"log":"lose"}'
bgctl account farm share 9 | grep -q accepted || fail "a change whose append answer was lost is not accepted"
inject_platform_fault '{"log":"ok"}'
[ "$(revision "$CONTROL_0")" = $((now + 1)) ] || fail "the change counted twice"

# While the log is unavailable, no change is accepted and the current configuration stays in
# force. A host that restarts meanwhile gets the configuration from another host.
inject_platform_fault '{"log":"out"}'
if bgctl account farm share 1 >"$dir/a" 2>&1; then fail "accepted without the log"; fi
grep -q 'not_accepted' "$dir/a" || fail "no not_accepted error: $(cat "$dir/a")"
kill -KILL "$PID_CONTROL_1"
start_daemon control-1
has_revision()
{
	[ "$(revision "$1")" = "$2" ]
}
eventually "the restarted host has the state from a peer" has_revision "$CONTROL_1" $((now + 1))
[ "$(share "$CONTROL_1" farm)" = 9 ] || fail "reverted from a peer"
inject_platform_fault '{"log":"ok"}'

# A host is stopped (SIGSTOP) while a change is made and the log records before the change expire.
# Once it continues, it adopts the new state, and no other host reverts to the old one.
kill -STOP "$PID_CONTROL_2"
bgctl account farm share 11 >/dev/null
first_offset()
{
	http "http://$PLATFORM/log/config?from=0" | jq .first
}
old_end=$(http "http://$PLATFORM/log/config?from=0" | jq .end)
has_expired_records()
{
	[ "$(first_offset)" -ge "$old_end" ]
}
eventually "the records have expired" has_expired_records
kill -CONT "$PID_CONTROL_2"
has_share()
{
	[ "$(share "$1" farm)" = "$2" ]
}
eventually "the stale host catches up" has_share "$CONTROL_2" 11
for c in $CONTROL_0 $CONTROL_1; do
	[ "$(share "$c" farm)" = 11 ] || fail "a stale host reverted another"
done

# All hosts restart at once after the log records of the first changes have expired. They restore
# the state from the snapshot in the log.
kill -KILL "$PID_CONTROL_0" "$PID_CONTROL_1" "$PID_CONTROL_2"
start_daemon control-0
start_daemon control-1
start_daemon control-2
for c in $CONTROL_0 $CONTROL_1 $CONTROL_2; do
	eventually "all hosts have the configuration after the restart" has_share "$c" 11
done
complete "$ENTRY_1" 4 after >"$dir/a"
expect_all_tokens "$(jq -r '.choices[0].text' "$dir/a")" 4
