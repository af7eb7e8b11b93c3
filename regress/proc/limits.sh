# Symptom: a burst of requests of one client account delays all other accounts, or requests are
# refused late and without a Retry-After header.
# Sequence: an account sends more requests at once than it may queue.
# Cause: queues have no upper bound.
. "$(dirname "$0")/../lib.sh"
stack --hosts 2 --endpoints 2 --slots 1 --set endpoints.overlap_percent=100
bgctl --wait do "account mill queue 3" >/dev/null

mill()
{
	http -N -D "$dir/h$1" -H "Authorization: Bearer $TOKEN_1" \
		-d "{\"model\":\"m1\",\"prompt\":\"flood $1\",\"max_tokens\":$2,\"stream\":$3}" \
		"http://$ENTRY_0/v1/completions"
}

# Two long answers occupy both slots. Of twelve more requests, three are queued and nine are
# refused.
long=()
for i in long1 long2; do
	mill $i 4000 true >"$dir/$i" &
	long+=($!)
done
eventually "both have begun" tokens_in "$dir/long1" 1
eventually "both have begun" tokens_in "$dir/long2" 1
pids=()
for i in $(seq 1 12); do
	mill "$i" 40 false >"$dir/a$i" &
	pids+=($!)
done
refused()
{
	[ "$(cat "$dir"/a* | grep -o '"queue_full"' | wc -l)" = 9 ]
}
eventually "nine are refused at once" refused
complete "$ENTRY_1" 4 "the light account" >"$dir/light" &
light=$!
kill "${long[@]}"
wait "${long[@]}" || true
wait $light "${pids[@]}"
whole "$(jq -r '.choices[0].text' "$dir/light")" 4
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
[ "$ok" = 3 ] || fail "$ok were served; three had a place to wait"

# While no pipeline is available, requests are refused soon with the code no_pipeline and a time
# to retry.
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

# If the caller closes its connection, the endpoint's slot is released.
complete_stream "$ENTRY_0" 4000 "hangs up" >"$dir/s" &
pid=$!
eventually "the stream has begun" tokens_in "$dir/s" 3
kill "$pid"
idle()
{
	[ "$(bgctl --json show endpoints | jq '[.[].endpoints[].in_flight] | add')" = 0 ]
}
eventually "nothing is in flight" idle
