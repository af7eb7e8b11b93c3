# Symptom: a daemon crashes or hangs on unexpected bytes sent to its port.
# Sequence: a client sends frames that are too large, malformed, of an unknown kind, or truncated.
# Cause: the length or the kind in a frame's header is used without a check.
. "$(dirname "$0")/../lib.sh"
start_stack --hosts 2 --endpoints 2

send_bytes()
{
	local addr=$1

	exec 3<>"/dev/tcp/${addr%:*}/${addr#*:}"
	printf '%b' "$2" >&3
	# The daemon either closes the connection or waits for the rest of a truncated frame.
	timeout 5 cat <&3 >/dev/null || true
	exec 3<&- 3>&-
}

for addr in $FRAMES_0 $PEER_0; do
	send_bytes "$addr" '\xff\xff\xff\xff\x00\x01'
	send_bytes "$addr" '\x00\x00\x00\x04\x00\x01\xff\xff\xff\xff'
	send_bytes "$addr" '\x00\x00\x00\x00\x7f\xff'
	send_bytes "$addr" 'GET / HTTP/1.1\r\n\r\n'
done
complete "$ENTRY_0" 4 "still there" >"$dir/a"
expect_all_tokens "$(jq -r '.choices[0].text' "$dir/a")" 4
refused=$(http "http://$CONTROL_0/metrics" | sed -n 's/^bg_frames_refused_total{} //p')
[ "$refused" -ge 3 ] || fail "refused frames are not counted: $refused"

# Configuration requests are refused without the operator token, also with a client account's token.
code=$(http -o /dev/null -w '%{http_code}' "http://$CONTROL_0/v1/config")
[ "$code" = 401 ] || fail "configuration without a token: $code"
code=$(http -o /dev/null -w '%{http_code}' -H "Authorization: Bearer $TOKEN_0" \
	-d '{"statements":"","id":"x"}' "http://$CONTROL_0/v1/change")
[ "$code" = 401 ] || fail "an account's token changed the configuration: $code"
if grep -rq "${TOKEN_0#*.}\|${OPERATOR_TOKEN#*.}" "$dir"/*.log; then fail "a token was logged"; fi
