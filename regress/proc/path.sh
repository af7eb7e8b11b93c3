# Tests requests end to end, streamed and plain, through both hosts. Each route covers every layer
# once and in order, as the engines' ledger shows. Invalid requests are refused with the place of
# the error and do not run.
. "$(dirname "$0")/../lib.sh"
start_stack --hosts 2 --endpoints 4

for entry in $ENTRY_0 $ENTRY_1; do
	answer=$(complete "$entry" 12 "plain $entry")
	expect_all_tokens "$(jq -r '.choices[0].text' <<<"$answer")" 12
	complete_stream "$entry" 12 "stream $entry" >"$dir/stream"
	expect_all_tokens "$(stream_text "$dir/stream")" 12
	grep -q '^data: \[DONE\]' "$dir/stream" || fail "no end mark"
done
expect_layers_in_order
before=$(ledger '.runs | length')

# expect_refusal STATUS CODE BODY [curl options...]: sends BODY and checks that it is refused with
# this HTTP status and error code, and with "Bg-Ran: no".
expect_refusal()
{
	local status=$1 code=$2 body=$3 got

	shift 3
	got=$(http -D "$dir/headers" -o "$dir/body" -w '%{http_code}' \
		-H "Authorization: Bearer ${token:-$TOKEN_0}" "$@" -d "$body" "http://$ENTRY_0/v1/completions")
	[ "$got" = "$status" ] || fail "expected status $status, got $got: $body"
	[ "$(jq -r .error.code "$dir/body")" = "$code" ] || fail "expected $code: $(cat "$dir/body")"
	grep -qi '^Bg-Ran: no' "$dir/headers" || fail "no Bg-Ran: no for $code"
}
expect_refusal 400 bad_body '{"model":"m1"'
expect_refusal 400 bad_body '[]'
expect_refusal 400 bad_body '{"model":"m1","prompt":5}'
expect_refusal 400 bad_body '{"model":"m1","prompt":"x","max_tokens":-1}'
expect_refusal 400 bad_argument '{"model":"m1","prompt":"x","max_tokens":100000}'
expect_refusal 400 bad_argument '{"model":"m1","prompt":"x"}' -H 'Bg-Deadline-Ms: soon'
token=farm.wrong expect_refusal 401 unauthorized '{"model":"m1","prompt":"x"}'
expect_refusal 404 not_found '{"model":"m9","prompt":"x"}'
head -c 2000000 /dev/zero | tr '\0' ' ' >"$dir/large"
expect_refusal 413 too_large "@$dir/large"
bgctl --wait "account mill models m1@v7" >/dev/null
got=$(http -o /dev/null -w '%{http_code}' -H "Authorization: Bearer $TOKEN_1" \
	-d '{"model":"m1","prompt":"x"}' "http://$ENTRY_0/v1/completions")
[ "$got" = 403 ] || fail "expected 403, got $got"
[ "$(ledger '.runs | length')" = "$before" ] || fail "a refused request ran"

# Latency histograms exist for each client account and request class.
http "http://$ENTRY_0/metrics" | grep -q '^bg_first_token_us{account="farm",class="completion",quantile="0.95"}' ||
	fail "no histogram of the account and class"
