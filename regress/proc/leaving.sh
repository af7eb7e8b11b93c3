# Symptom: a planned stop cuts off requests, or an endpoint that is leaving still gets new
# requests.
# Sequence: endpoints and hosts are drained, and daemons get SIGTERM, under load.
# Cause: a daemon exits before its requests have ended, or does not learn that an endpoint is
# leaving.
. "$(dirname "$0")/../lib.sh"
start_stack --hosts 3 --endpoints 4

granted_count()
{
	bgctl --json show endpoints | jq --arg e "$1" \
		'[.[].endpoints[] | select(.endpoint == $e) | .granted] | add'
}

send_requests()
{
	for i in 1 2 3 4 5 6 7 8; do
		complete "$ENTRY_1" 3 "load $i" >/dev/null
	done
}

# An operator drains an endpoint: it gets no new requests once the change is in force.
bgctl --wait drain endpoint e0 >/dev/null
before=$(granted_count e0)
send_requests
[ "$(granted_count e0)" = "$before" ] || fail "a drained endpoint got new requests"
bgctl --wait admit endpoint e0 >/dev/null

# An endpoint reports that it is leaving: it gets no new requests once the report has arrived.
inject_engine_fault e2 leave
is_leaving()
{
	bgctl show endpoints | grep -q 'e2 .*leaving'
}
eventually "e2 is shown as leaving" is_leaving
before=$(granted_count e2)
send_requests
[ "$(granted_count e2)" = "$before" ] || fail "a leaving endpoint got new requests"
inject_engine_fault e2 revive

# A host's daemons get SIGTERM while streamed and plain requests are in progress: all are completed.
pids=()
for i in 1 2 3 4; do
	complete_stream "$ENTRY_0" 200 "stop stream $i" >"$dir/s$i" &
	pids+=($!)
	complete "$ENTRY_0" 200 "stop plain $i" >"$dir/p$i" &
	pids+=($!)
done
eventually "streams have begun" has_tokens "$dir/s4" 5
kill -TERM "$PID_ENTRY_0" "$PID_CONTROL_0"
is_not_ready()
{
	[ "$(http -o /dev/null -w '%{http_code}' "http://$ENTRY_0/readyz")" = 503 ]
}
eventually "readyz reports not ready" is_not_ready
complete "$ENTRY_0" 4 "the balancer lags" >"$dir/late"
expect_all_tokens "$(jq -r '.choices[0].text' "$dir/late")" 4
for pid in "${pids[@]}"; do
	wait "$pid" || fail "a request was cut off"
done
for i in 1 2 3 4; do
	expect_all_tokens "$(stream_text "$dir/s$i")" 200
	expect_all_tokens "$(jq -r '.choices[0].text' "$dir/p$i")" 200
done
has_exited()
{
	! kill -0 "$1"
}
eventually "the entry daemon ends" has_exited "$PID_ENTRY_0"
eventually "the control daemon ends" has_exited "$PID_CONTROL_0"

if grep -h frame_refused "$dir"/*.log; then fail "daemons refuse each other's frames"; fi

# A drained host reports that it is not ready, and is not the home of any request. Once it is
# admitted, both are reversed.
export BRONZEGAUGE_CONTROL=$CONTROL_1
bgctl drain host host-2 >/dev/null
readyz_is()
{
	[ "$(http -o /dev/null -w '%{http_code}' "http://$1/readyz")" = "$2" ]
}
eventually "a drained host is not ready" readyz_is "$ENTRY_2" 503
bgctl admit host host-2 >/dev/null
eventually "an admitted host is ready" readyz_is "$ENTRY_2" 200
expect_layers_in_order
