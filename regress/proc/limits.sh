# Symptom: a burst of requests of one client account delays all other accounts, or requests are
# refused late and without a Retry-After header.
# Sequence: an account sends more requests at once than it may queue.
# Cause: queues have no upper bound.
. "$(dirname "$0")/../lib.sh"
start_stack --hosts 2 --endpoints 2 --slots 1 --set endpoints.overlap_percent=100
bgctl --wait do "account mill queue 3" >/dev/null

# send_as_mill ID MAX_TOKENS STREAM: sends a completion request of the account mill, streamed if
# STREAM is "true"; writes the response headers to the file h followed by ID.
send_as_mill()
{
	http -N -D "$dir/h$1" -H "Authorization: Bearer $TOKEN_1" \
		-d "{\"model\":\"m1\",\"prompt\":\"flood $1\",\"max_tokens\":$2,\"stream\":$3}" \
		"http://$ENTRY_0/v1/completions"
}

# Two long answers occupy both slots. Of twelve more requests, three are queued and nine are
# refused.
long=()
for i in long1 long2; do
	send_as_mill $i 4000 true >"$dir/$i" &
	long+=($!)
done
eventually "both have begun" has_tokens "$dir/long1" 1
eventually "both have begun" has_tokens "$dir/long2" 1
pids=()
for i in $(seq 1 12); do
	send_as_mill "$i" 40 false >"$dir/a$i" &
	pids+=($!)
done
nine_are_refused()
{
	[ "$(cat "$dir"/a* | grep -o '"queue_full"' | wc -l)" = 9 ]
}
eventually "nine are refused at once" nine_are_refused
complete "$ENTRY_1" 4 "the light account" >"$dir/light" &
light=$!
kill "${long[@]}"
wait "${long[@]}" || true
wait $light "${pids[@]}"
expect_all_tokens "$(jq -r '.choices[0].text' "$dir/light")" 4
ok=0
for i in $(seq 1 12); do
	if grep -q queue_full "$dir/a$i"; then
		grep -qi '^Retry-After: [0-9]' "$dir/h$i" || fail "no Retry-After"
		grep -qi '^Bg-Ran: no' "$dir/h$i" || fail "no Bg-Ran: no"
	else
		expect_all_tokens "$(jq -r '.choices[0].text' "$dir/a$i")" 40
		ok=$((ok + 1))
	fi
done
[ "$ok" = 3 ] || fail "$ok requests were served, expected 3"

# While no pipeline is available, requests are refused soon with the code no_pipeline and a time
# to retry.
inject_engine_fault e1 die
has_no_pipeline()
{
	[ "$(complete "$ENTRY_0" 2 nobody | jq -r .error.code)" = no_pipeline ]
}
eventually "requests are refused with no_pipeline" has_no_pipeline
inject_engine_fault e1 revive
is_served()
{
	[ "$(complete "$ENTRY_0" 2 again | jq -r '.choices[0].text // empty')" ]
}
eventually "requests are served again" is_served

# If the caller closes its connection, the endpoint's slot is released.
complete_stream "$ENTRY_0" 4000 "hangs up" >"$dir/s" &
pid=$!
eventually "the stream has begun" has_tokens "$dir/s" 3
kill "$pid"
has_no_requests_in_flight()
{
	[ "$(bgctl --json show endpoints | jq '[.[].endpoints[].in_flight] | add')" = 0 ]
}
eventually "nothing is in flight" has_no_requests_in_flight
