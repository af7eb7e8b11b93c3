# Symptom: an answer states that a request did not run, the caller repeats it, and two trucks are
# sent.
# Sequence: requests are refused with each code that has "Bg-Ran: no" (the table in req/code.c).
# Cause: the answer states "Bg-Ran: no" although an endpoint may have run the request. At the end,
# the engines' ledger must not contain the id of any refused request.
. "$(dirname "$0")/../lib.sh"
start_stack --hosts 1 --endpoints 2 --slots 1 --set endpoints.overlap_percent=100 \
	--set attempts.retry_burst=0 --set attempts.retry_percent=0
bgctl do "account mill queue 1 models m1@v9" >/dev/null
body='{"model":"m1","prompt":"x","max_tokens":4}'
: >"$dir/ids"

# send_request [curl options...]: sends a request and sets code to the answer's error code, empty
# if served.
send_request()
{
	http -D "$dir/headers" -o "$dir/body" -H "Authorization: Bearer ${token:-$TOKEN_0}" "$@"
	code=$(jq -r '.error.code // empty' "$dir/body")
}

# expect_refusal CODE [curl options...]: sends a request and checks that it is refused with this
# error code and "Bg-Ran: no". Records the request's id.
expect_refusal()
{
	local want=$1

	shift
	send_request "$@"
	[ "$code" = "$want" ] || fail "expected $want, got '$code': $(cat "$dir/body")"
	grep -qi '^Bg-Ran: no' "$dir/headers" || fail "$want without Bg-Ran: no"
	tr -d '\r' <"$dir/headers" | sed -n 's/^Bg-Request: //p' >>"$dir/ids"
	echo "$want" >>"$dir/seen"
}

# is_refused CODE [curl options...]: like expect_refusal, but in a subshell, so that a failed
# check does not end the script.
is_refused()
{
	(expect_refusal "$@")
}

url=http://$ENTRY_0/v1/completions
expect_refusal bad_body "$url" -d '{'
expect_refusal bad_argument "$url" -d "$body" -H 'Bg-Idempotent: maybe'
token=farm.x expect_refusal unauthorized "$url" -d "$body"
token=$TOKEN_1 expect_refusal forbidden "$url" -d "$body"
expect_refusal not_found "http://$ENTRY_0/svc/none/x" -d "$body"
expect_refusal bad_method "$url"
head -c 2000000 /dev/zero | tr '\0' ' ' >"$dir/large"
expect_refusal too_large "$url" -d "@$dir/large"
send_request "$url" -d "$body" -H 'Bg-Idempotent: no' -H 'Idempotency-Key: k'
[ -z "$code" ] || fail "the key's first request: $code"
expect_refusal key_reused "$url" -d '{"model":"m1","prompt":"other"}' -H 'Bg-Idempotent: no' \
	-H 'Idempotency-Key: k'

# The platform's log is unavailable.
inject_platform_fault '{"log":"out"}'
expect_refusal claim_failed "$url" -d "$body" -H 'Bg-Idempotent: no' -H 'Idempotency-Key: k2'
inject_platform_fault '{"log":"ok"}'

# An engine holds other layers than its home host assumes, and the retry budget is 0.
e0=$(bgctl export | sed -n 's/^endpoint e0 address \([^ ]*\).*/\1/p')
is_refused_after_wrong_order()
{
	http -d '{"fence":0,"version":"v1","first":0,"last":3}' "http://$e0/orders" >/dev/null
	is_refused retry_budget "$url" -d "$body"
}
eventually "refused with retry_budget after the engine rejected the layers" is_refused_after_wrong_order
holds_all_layers()
{
	[ "$(http "http://$e0/load" | jq .last)" = 15 ]
}
eventually "e0 holds its layers again" holds_all_layers
is_admitted()
{
	bgctl show endpoints | grep -q 'e0 .*admitted'
}
eventually "the home host admits e0 again" is_admitted

# Both slots are occupied and twelve long requests are queued.
bgctl --wait do "account farm queue 12 max-tokens 100000" "account mill models m1" >/dev/null
pids=()
for i in $(seq 1 14); do
	complete_stream "$ENTRY_0" 100000 "long $i" -H 'Bg-Deadline-Ms: 100000000' >"$dir/long$i" &
	pids+=($!)
done
all_queued()
{
	[ "$(bgctl --json show accounts | jq '[.[].accounts[] | select(.account == "farm") | .waiting] | add')" = 12 ]
}
eventually "twelve requests are queued" all_queued
expect_refusal queue_full "$url" -d "$body"
bgctl --wait do "account farm queue 100" >/dev/null
expect_refusal too_long_to_wait "$url" -d "$body" -H 'Bg-Deadline-Ms: 3000'
token=$TOKEN_1 expect_refusal deadline_before_start "$url" -d "$body" -H 'Bg-Deadline-Ms: 300'
kill "${pids[@]}"
wait "${pids[@]}" || true

# An endpoint fails, so that no complete pipeline is left.
inject_engine_fault e1 die
eventually "no pipeline" is_refused no_pipeline "$url" -d "$body"

# A new entry daemon has not received a configuration yet.
sed "s/^listen = .*/listen = 127.0.0.1:$((${PLATFORM##*:} + 11))/; s/^peer = .*/peer = 127.0.0.1:$((${PLATFORM##*:} + 12))/; s/^control = .*/control = 127.0.0.1:$((${PLATFORM##*:} + 13))/" \
	"$dir/entry-0.ini" >"$dir/entry-new.ini"
"$bin/bgentryd" --config "$dir/entry-new.ini" >"$dir/entry-new.log" 2>&1 &
echo "entry-new $!" >>"$dir/pids"
new=http://127.0.0.1:$((${PLATFORM##*:} + 11))
eventually "no configuration" is_refused not_ready "$new/v1/completions" -d "$body"

[ "$(sort -u "$dir/seen" | wc -l)" = 15 ] || fail "expected 15 refusal codes: $(sort -u "$dir/seen")"
while read -r id; do
	n=$(ledger --arg r "$id" '[.runs[] | select(.request == $r)] | length')
	[ "$n" = 0 ] || fail "request $id was refused as not run, and ran"
done <"$dir/ids"
