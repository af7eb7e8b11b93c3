# Symptom: an engine goes back to an old version after a roll-out.
# Sequence: the host that holds the lease for orders is stopped (SIGSTOP) until the lease has
# expired; the next holder orders a new version; an order of the stopped host arrives late.
# Cause: an engine accepts any order. An engine that checks fencing numbers refuses the late
# order.
. "$(dirname "$0")/../lib.sh"
start_stack --hosts 3 --endpoints 4 --fencing --set endpoints.lease_ms=1500

endpoint_address()
{
	bgctl export | sed -n "s/^endpoint $1 address \([^ ]*\).*/\1/p"
}

engine_load()
{
	http "http://$(endpoint_address e0)/load" | jq -r ".$1"
}

version_is()
{
	[ "$(engine_load version)" = "$1" ]
}

last_lease()
{
	http "http://$PLATFORM/log/orders?from=0" | jq -r '.records[-1] | "\(.offset) \(.data | fromjson | .holder)"'
}

has_holder()
{
	[ -n "$(last_lease | sed -n 's/.*host-//p')" ]
}
eventually "a host holds the lease" has_holder
read -r old_fence holder <<<"$(last_lease)"
n=${holder%%/*}
n=${n#host-}
frozen=PID_CONTROL_$n
other=CONTROL_$(((n + 1) % 3))
export BRONZEGAUGE_CONTROL=${!other}
kill -STOP "${!frozen}"
bgctl do "endpoint e0 version v2" >/dev/null
eventually "the next holder orders v2" version_is v2
[ "$(engine_load fence)" -gt "$old_fence" ] || fail "the fencing number did not grow"
code=$(http -o /dev/null -w '%{http_code}' \
	-d "{\"fence\":$old_fence,\"model\":\"m1\",\"version\":\"v1\",\"first\":0,\"last\":15}" \
	"http://$(endpoint_address e0)/orders")
[ "$code" = 409 ] || fail "a late order was accepted: $code"
version_is v2 || fail "the old version was restored"

# The stopped host continues: it must neither order the old version nor take back the lease before
# the new holder's lease expires.
kill -CONT "${!frozen}"
has_current_revision()
{
	address=CONTROL_$n
	[ "$(http "http://${!address}/v1/status" | jq .revision)" = "$(http "http://${!other}/v1/status" | jq .revision)" ]
}
eventually "the continued host has the configuration" has_current_revision
version_is v2 || fail "the continued host restored the old version"
expect_layers_in_order
