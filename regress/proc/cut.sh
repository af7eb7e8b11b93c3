# Symptom: a load confirmation runs twice although the router sent it once.
# Sequence: the request goes out on a connection that was used before; the engine runs it and the
# connection is cut before any byte of the answer.
# Cause: the HTTP library repeats a request on its own if a reused connection closes before the
# answer begins. A non-idempotent request must therefore be sent on a new connection.
. "$(dirname "$0")/../lib.sh"
start_stack --hosts 2 --endpoints 2

for i in 1 2 3; do
	complete "$ENTRY_0" 2 "warm $i" >/dev/null
done
inject_engine_fault e0 drop
complete "$ENTRY_0" 6 "cut" -H 'Bg-Idempotent: no' -H 'Idempotency-Key: cut' -D "$dir/h" >"$dir/a"
expect_one_attempt cut
expect_all_tokens "$(jq -r '.choices[0].text' "$dir/a")" 6

# The lost answer of a plain service can't be fetched again. The caller gets "Bg-Ran: unknown",
# and so does a repeated request with the same key. request_booking ENTRY KEY: sends a
# non-idempotent request to the plain service "booking".
request_booking()
{
	http -D "$dir/h" -H "Authorization: Bearer $TOKEN_0" -H "Idempotency-Key: $2" -d '{"lot":7}' \
		"http://$1/svc/booking/loads"
}
for i in 1 2 3 4; do
	request_booking "$ENTRY_0" "warm-$i" >/dev/null
done
inject_engine_fault booking drop
for i in 1 2; do
	request_booking "$ENTRY_0" "lost-$i" >"$dir/a"
	expect_one_attempt "lost-$i"
	[ "$(jq -r '.error.code // empty' "$dir/a")" ] || continue
	grep -qi '^Bg-Ran: unknown' "$dir/h" || fail "$(cat "$dir/h" "$dir/a")"
	request_booking "$ENTRY_1" "lost-$i" >"$dir/a"
	grep -qi '^Bg-Ran: unknown' "$dir/h" || fail "no Bg-Ran: unknown for the repeated request: $(cat "$dir/h" "$dir/a")"
	expect_one_attempt "lost-$i"
done
expect_layers_in_order
