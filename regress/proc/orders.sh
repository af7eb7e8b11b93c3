# Symptom: engines hold another version or other layers than declared.
# Sequence: a version is rolled out endpoint by endpoint under requests; an engine forgets.
# Cause: an order that was lost, or given by a holder whose lease had lapsed.
. "$(dirname "$0")/../lib.sh"
stack --hosts 3 --endpoints 4 --set endpoints.lease_ms=1500

reports()
{
	local addr

	addr=$(bgctl export | sed -n "s/^endpoint $1 address \([^ ]*\).*/\1/p")
	[ "$(http "http://$addr/load" | jq -r .version)" = "$2" ]
}

# Half the pool moves to v2 while requests of v1 go on at the other half; then v2 becomes current.
bgctl do "endpoint e0 version v2" "endpoint e1 version v2" >/dev/null
eventually "e0 was ordered to v2" reports e0 v2
eventually "e1 was ordered to v2" reports e1 v2
for i in 1 2 3; do
	complete "$ENTRY_1" 4 "still v1" -D "$dir/headers" >"$dir/a"
	whole "$(jq -r '.choices[0].text' "$dir/a")" 4
	grep -q 'Bg-Route: e2.*e3' "$dir/headers" || fail "v1 went to v2 endpoints"
done
bgctl --wait model m1 version v2 >/dev/null
complete "$ENTRY_1" 4 "now v2" -D "$dir/headers" >"$dir/a"
whole "$(jq -r '.choices[0].text' "$dir/a")" 4
grep -q 'Bg-Route: e0.*e1' "$dir/headers" || fail "v2 went to v1 endpoints"

# The orderer dies: the next one takes the lease and goes on.
holder=$(http "http://$PLATFORM/log/orders?from=0" | jq -r '.records[-1].data | fromjson | .holder')
n=${holder%%/*}
n=${n#host-}
pid=PID_CONTROL_$n
kill -KILL "${!pid}"
other=CONTROL_$(((n + 1) % 3))
export BRONZEGAUGE_CONTROL=${!other}
bgctl do "endpoint e2 version v2" "endpoint e3 version v2" >/dev/null
eventually "e2 was ordered by the next holder" reports e2 v2
eventually "e3 was ordered by the next holder" reports e3 v2
no_violations

# An order of a holder that was paused arrives late at an engine that ignores fencing numbers: it
# takes it. Requests are never run at wrong layers meanwhile, and the order is undone.
address()
{
	bgctl export | sed -n "s/^endpoint $1 address \([^ ]*\).*/\1/p"
}
http -d '{"fence":0,"model":"m1","version":"v1","first":0,"last":3}' "http://$(address e0)/orders" \
	>/dev/null
for i in 1 2 3; do
	complete "$ENTRY_1" 4 "late order $i" >"$dir/a"
	whole "$(jq -r '.choices[0].text' "$dir/a")" 4
done
eventually "the late order is undone" reports e0 v2
no_violations
