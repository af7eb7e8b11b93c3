# Symptom: a flood of one account makes everybody wait, or refusals come late and without a time.
# Sequence: more requests than the account may queue, all at once.
# Cause: queues without bounds.
. "$(dirname "$0")/../lib.sh"
stack --hosts 2 --endpoints 2 --slots 1 --set endpoints.overlap_percent=100
bgctl --wait do "account mill queue 3" >/dev/null

pids=()
for i in $(seq 1 12); do
	http -D "$dir/h$i" -H "Authorization: Bearer $TOKEN_1" \
		-d "{\"model\":\"m1\",\"prompt\":\"flood $i\",\"max_tokens\":40}" \
		"http://$ENTRY_0/v1/completions" >"$dir/a$i" &
	pids+=($!)
done
refused()
{
	[ "$(cat "$dir"/a* | grep -c queue_full)" -ge 1 ]
}
eventually "some are refused at once" refused
complete "$ENTRY_1" 4 "the light account" >"$dir/light"
whole "$(jq -r '.choices[0].text' "$dir/light")" 4
wait "${pids[@]}"
ok=0
for i in $(seq 1 12); do
	if grep -q queue_full "$dir/a$i"; then
		grep -qi '^Retry-After: [0-9]' "$dir/h$i" || fail "no Retry-After"
		grep -qi '^Bg-Ran: no' "$dir/h$i" || fail "no Bg-Ran: no"
	else
		whole "$(jq -r '.choices[0].text' "$dir/a$i")" 40
		ok=$((ok + 1))
	fi
done
[ "$ok" = 5 ] || fail "$ok were served; 2 in flight over two stages of one slot, and 3 places to wait"

# Without a pipeline: refused soon, with when to come back.
fault_engine e1 die
gone()
{
	[ "$(complete "$ENTRY_0" 2 nobody | jq -r .error.code)" = no_pipeline ]
}
eventually "no pipeline is told" gone
fault_engine e1 revive
back()
{
	[ "$(complete "$ENTRY_0" 2 again | jq -r '.choices[0].text // empty')" ]
}
eventually "it serves again" back

# A caller that hangs up frees the endpoint.
complete_stream "$ENTRY_0" 4000 "hangs up" >"$dir/s" &
pid=$!
eventually "the stream has begun" tokens_in "$dir/s" 3
kill "$pid"
idle()
{
	[ "$(bgctl --json show endpoints | jq '[.[].endpoints[].in_flight] | add')" = 0 ]
}
eventually "nothing is in flight" idle
