# Sourced by the cases in proc/: a stack of their own, and ways to wait for events.
set -euo pipefail

here=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
bin=${BUILD:-$here/build}
dir=$(mktemp -d)
export BG_LOG=${BG_LOG:-info}

finish()
{
	local status=$?

	"$here/tools/stack" down "$dir"
	if [ $status -ne 0 ]; then
		echo "--- logs of ${0##*/}"
		tail -n 40 "$dir"/*.log || true
	fi
	rm -rf "$dir"
	exit $status
}
trap finish EXIT

fail()
{
	echo "${0##*/}: $*" >&2
	exit 1
}

# stack ARGS...: starts it and reads its addresses.
stack()
{
	"$here/tools/stack" up "$dir" "$@"
	read_env
}

read_env()
{
	# shellcheck disable=SC1091
	. "$dir/env"
	export BRONZEGAUGE_CONTROL=$CONTROL_0 BRONZEGAUGE_TOKEN=$OPERATOR_TOKEN
}

start()
{
	"$here/tools/stack" start "$dir" "$1"
	read_env
}

# eventually WHAT COMMAND...: tries until the command succeeds; gives up after a great many tries.
eventually()
{
	local what=$1 tries=600

	shift
	until "$@" >/dev/null 2>&1; do
		tries=$((tries - 1))
		[ $tries -gt 0 ] || fail "never came true: $what"
		sleep 0.05
	done
}

http()
{
	curl -s --noproxy '*' -m 60 "$@"
}

bgctl()
{
	"$bin/bgctl" "$@"
}

# complete ENTRY MAX_TOKENS PROMPT [curl options...]: the JSON answer.
complete()
{
	local entry=$1 tokens=$2 prompt=$3

	shift 3
	http -H "Authorization: Bearer $TOKEN_0" "$@" \
		-d "{\"model\":\"m1\",\"prompt\":\"$prompt\",\"max_tokens\":$tokens}" \
		"http://$entry/v1/completions"
}

# The same, streamed.
complete_stream()
{
	local entry=$1 tokens=$2 prompt=$3

	shift 3
	http -N -H "Authorization: Bearer $TOKEN_0" "$@" \
		-d "{\"model\":\"m1\",\"prompt\":\"$prompt\",\"max_tokens\":$tokens,\"stream\":true}" \
		"http://$entry/v1/completions"
}

# confirm ENTRY KEY MAX_TOKENS: a non-idempotent request under that key.
confirm()
{
	complete "$1" "$3" "confirm $2" -H 'Bg-Idempotent: no' -H "Idempotency-Key: $2"
}

# The text of an answer in a file.
text_of()
{
	jq -r '.choices[0].text' <"$1"
}

# running KEY: the run under the key has brought some tokens.
running()
{
	[ "$(ledger --arg k "$1" '[.runs[] | select(.key == $k) | .tokens] | add // 0')" -ge 5 ]
}

# The text of a streamed answer in a file.
stream_text()
{
	sed -n 's/^data: {/{/p' "$1" | jq -j '.choices[0].text // empty'
}

# whole TEXT COUNT: the tokens 0..COUNT-1, each once, in order.
whole()
{
	local got

	got=$(tr ' ' '\n' <<<"$1" | sed -n 's/:.*//p' | tr '\n' ' ')
	[ "$got" = "$(seq -s ' ' 0 $(($2 - 1))) " ] || fail "not whole: $1"
}

fault_engine()
{
	http -d "{\"endpoint\":\"$1\",\"fault\":\"$2\",\"factor\":${3:-1}}" "http://$ENGINE_ADMIN/fault" \
		>/dev/null
}

fault_platform()
{
	http -d "$1" "http://$PLATFORM/fault" >/dev/null
}

ledger()
{
	http "http://$ENGINE_ADMIN/ledger" | jq "$@"
}

no_violations()
{
	[ "$(ledger '[.runs[].layer_violations] | add')" = 0 ] || fail "layers were run out of order"
}

# once KEY: all runs under the key were one attempt of one request.
ran_once()
{
	local n

	n=$(ledger --arg k "$1" '[.runs[] | select(.key == $k) | .attempts] | add // 0')
	[ "$n" = 1 ] || fail "key $1 ran $n times"
}

tokens_in()
{
	[ -f "$1" ] && [ "$(grep -c '"text"' "$1")" -ge "$2" ]
}
