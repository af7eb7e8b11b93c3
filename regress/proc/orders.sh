# Symptom: engines hold another version or other layers than the configuration declares.
# Sequence: a version is rolled out endpoint by endpoint while requests are served; the lease
# holder is killed; an engine loses its version; a late order changes an engine's version and
# layers.
# Cause: an order was lost, or was sent by a host whose lease had expired.
. "$(dirname "$0")/../lib.sh"
start_stack --hosts 3 --endpoints 4 --set endpoints.lease_ms=1500

has_version()
{
	local addr

	addr=$(bgctl export | sed -n "s/^endpoint $1 address \([^ ]*\).*/\1/p")
	[ "$(http "http://$addr/load" | jq -r .version)" = "$2" ]
}

# Half of the endpoints switch to v2 while the other half serves v1. Then v2 becomes current.
bgctl do "endpoint e0 version v2" "endpoint e1 version v2" >/dev/null
eventually "e0 was ordered to v2" has_version e0 v2
eventually "e1 was ordered to v2" has_version e1 v2
for i in 1 2 3; do
	complete "$ENTRY_1" 4 "still v1" -D "$dir/headers" >"$dir/a"
	expect_all_tokens "$(jq -r '.choices[0].text' "$dir/a")" 4
	grep -q 'Bg-Route: e2.*e3' "$dir/headers" || fail "v1 went to v2 endpoints"
done
bgctl --wait model m1 version v2 >/dev/null
complete "$ENTRY_1" 4 "now v2" -D "$dir/headers" >"$dir/a"
expect_all_tokens "$(jq -r '.choices[0].text' "$dir/a")" 4
grep -q 'Bg-Route: e0.*e1' "$dir/headers" || fail "v2 went to v1 endpoints"

# The lease holder is killed. Another host acquires the lease and sends the remaining orders.
holder=$(http "http://$PLATFORM/log/orders?from=0" | jq -r '.records[-1].data | fromjson | .holder')
n=${holder%%/*}
n=${n#host-}
pid=PID_CONTROL_$n
kill -KILL "${!pid}"
other=CONTROL_$(((n + 1) % 3))
export BRONZEGAUGE_CONTROL=${!other}
bgctl do "endpoint e2 version v2" "endpoint e3 version v2" >/dev/null
eventually "e2 was ordered by the next holder" has_version e2 v2
eventually "e3 was ordered by the next holder" has_version e3 v2
expect_layers_in_order

# An order of a former lease holder arrives late, and the engine accepts it because it does not
# check fencing numbers. Until the order is reversed, no request runs with wrong layers.
endpoint_address()
{
	bgctl export | sed -n "s/^endpoint $1 address \([^ ]*\).*/\1/p"
}
http -d '{"fence":0,"model":"m1","version":"v1","first":0,"last":3}' "http://$(endpoint_address e0)/orders" \
	>/dev/null
for i in 1 2 3; do
	complete "$ENTRY_1" 4 "late order $i" >"$dir/a"
	expect_all_tokens "$(jq -r '.choices[0].text' "$dir/a")" 4
done
eventually "the late order is reversed" has_version e0 v2
expect_layers_in_order
