# Symptom: a non-idempotent request runs twice, so that two trucks are sent for one load.
# Sequence: the caller repeats a request through another host, later or at the same time, while
# hosts fail.
# Cause: a host can't know which requests another host has sent. The order of claims in the log
# decides.
. "$(dirname "$0")/../lib.sh"
start_stack --hosts 3 --endpoints 4

# The same request is sent to two hosts at the same time, several times.
for i in 1 2 3 4 5; do
	complete_once "$ENTRY_0" "both-$i" 8 >"$dir/a" &
	a=$!
	complete_once "$ENTRY_1" "both-$i" 8 >"$dir/b" &
	b=$!
	wait $a $b
	expect_all_tokens "$(text_of "$dir/a")" 8
	[ "$(text_of "$dir/a")" = "$(text_of "$dir/b")" ] || fail "two answers for one key"
	expect_one_attempt "both-$i"
done

# The entry daemon is killed in the middle of an answer. A repeated request at another host gets
# the complete answer, and the request runs once.
complete_once "$ENTRY_0" dies 80 >"$dir/a" &
a=$!
eventually "the run has begun" has_run_started dies
kill -KILL "$PID_ENTRY_0"
wait $a || true
complete_once "$ENTRY_1" dies 80 >"$dir/b"
expect_all_tokens "$(text_of "$dir/b")" 80
expect_one_attempt dies

# Plain services: a repeated request gets the answer to the first one. request_booking ENTRY KEY:
# sends a non-idempotent request to the plain service "booking".
request_booking()
{
	http -H "Authorization: Bearer $TOKEN_0" -H "Idempotency-Key: $2" -d '{"lot":7}' \
		"http://$1/svc/booking/loads"
}
request_booking "$ENTRY_1" svc >"$dir/a" &
a=$!
request_booking "$ENTRY_2" svc >"$dir/b"
wait $a
[ "$(cat "$dir/a")" = "$(cat "$dir/b")" ] || fail "two answers of the service"
expect_one_attempt svc

# The log's answer to an append is lost.
inject_platform_fault '{"log":"lose"}'
complete_once "$ENTRY_1" lost 4 >"$dir/a"
expect_all_tokens "$(text_of "$dir/a")" 4
inject_platform_fault '{"log":"ok"}'
expect_one_attempt lost

# While the log is unavailable, a non-idempotent request is refused at once with a time to retry,
# and does not run; an idempotent request is served. Once the log is available, the refused
# request runs.
inject_platform_fault '{"log":"out"}'
complete_once "$ENTRY_1" out 4 >"$dir/a"
code=$(jq -r .error.code "$dir/a")
[ "$code" = claim_failed ] || fail "log out: $(cat "$dir/a")"
complete "$ENTRY_1" 4 "repeatable" >"$dir/b"
expect_all_tokens "$(text_of "$dir/b")" 4
inject_platform_fault '{"log":"ok"}'
is_served_on_retry()
{
	complete_once "$ENTRY_2" out 4 >"$dir/a" && [ "$(jq -r '.choices[0].text // empty' "$dir/a")" ]
}
eventually "the log is used again" is_served_on_retry
expect_all_tokens "$(text_of "$dir/a")" 4
expect_one_attempt out

# All control daemons but one are killed. The remaining one handles the claims.
kill -KILL "$PID_CONTROL_0" "$PID_CONTROL_1"
for i in 1 2 3 4; do
	complete_once "$ENTRY_2" "home-$i" 4 >"$dir/a"
	expect_all_tokens "$(text_of "$dir/a")" 4
	expect_one_attempt "home-$i"
done
expect_layers_in_order
