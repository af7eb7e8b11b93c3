# Symptom: a load confirmation runs twice although the router sent it once.
# Sequence: the request goes out on a connection that was used before; the engine runs it and the
# connection is cut before any byte of the answer.
# Cause: the HTTP library repeats a request on its own if a reused connection closes before the
# answer begins. A non-idempotent request must therefore be sent on a new connection.
. "$(dirname "$0")/../lib.sh"
stack --hosts 2 --endpoints 2

for i in 1 2 3; do
	complete "$ENTRY_0" 2 "warm $i" >/dev/null
done
fault_engine e0 drop
complete "$ENTRY_0" 6 "cut" -H 'Bg-Idempotent: no' -H 'Idempotency-Key: cut' -D "$dir/h" >"$dir/a"
ran_once cut
whole "$(jq -r '.choices[0].text' "$dir/a")" 6

# The lost answer of a plain service can't be fetched again. The caller gets "Bg-Ran: unknown",
# and so does a repeated request with the same key.
book()
{
	http -D "$dir/h" -H "Authorization: Bearer $TOKEN_0" -H "Idempotency-Key: $2" -d '{"lot":7}' \
		"http://$1/svc/booking/loads"
}
for i in 1 2 3 4; do
	book "$ENTRY_0" "warm-$i" >/dev/null
done
fault_engine booking drop
for i in 1 2; do
	book "$ENTRY_0" "lost-$i" >"$dir/a"
	ran_once "lost-$i"
	[ "$(jq -r '.error.code // empty' "$dir/a")" ] || continue
	grep -qi '^Bg-Ran: unknown' "$dir/h" || fail "$(cat "$dir/h" "$dir/a")"
	book "$ENTRY_1" "lost-$i" >"$dir/a"
	grep -qi '^Bg-Ran: unknown' "$dir/h" || fail "asked again: $(cat "$dir/h" "$dir/a")"
	ran_once "lost-$i"
done
no_violations
