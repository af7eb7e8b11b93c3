# Guards against a control daemon that ends since the error in a statement is reported with half a character.
. "$(dirname "$0")/../lib.sh"
start_stack --hosts 1 --endpoints 2

word=$(printf 'é%.0s' $(seq 60))
for statement in "$word" "a$word" "account $word" "account a$word"; do
	status=$(curl -s -m 5 -o "$dir/answer" -w '%{http_code}' -H "Authorization: Bearer $OPERATOR_TOKEN" \
		-d "{\"id\":\"odd-$RANDOM\",\"statements\":\"$statement\"}" "http://$CONTROL_0/v1/change") || true
	[ "$status" = 409 ] || fail "status $status for $statement"
	grep -q '"outcome":"rejected"' "$dir/answer" || fail "$(cat "$dir/answer")"
done
