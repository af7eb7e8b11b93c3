# Functions for the test scripts in proc/, which source this file. Each script runs its own set of
# daemons, started by tools/stack in a temporary directory.
set -euo pipefail

here=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
bin=${BUILD:-$here/build}
dir=$(mktemp -d)
export BG_LOG=${BG_LOG:-info}

# Stops the daemons on exit; prints the ends of their logs if the script failed.
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

# fail MESSAGE...: prints the message and ends the script with status 1.
fail()
{
	echo "${0##*/}: $*" >&2
	exit 1
}

# start_stack ARGS...: starts the daemons by "tools/stack up" with these options and reads their
# addresses.
start_stack()
{
	"$here/tools/stack" up "$dir" "$@"
	read_env
}

# Sets the variables that hold the addresses, tokens and process ids of the daemons.
read_env()
{
	# shellcheck disable=SC1091
	. "$dir/env"
	export BRONZEGAUGE_CONTROL=$CONTROL_0 BRONZEGAUGE_TOKEN=$OPERATOR_TOKEN
}

# start_daemon DAEMON: restarts one daemon, such as control-1, and reads the new addresses and
# process ids.
start_daemon()
{
	"$here/tools/stack" start "$dir" "$1"
	read_env
}

# eventually WHAT COMMAND...: repeats the command until it succeeds. Fails after 600 tries, which
# are 0.05 seconds apart.
eventually()
{
	local what=$1 tries=600

	shift
	until "$@" >/dev/null 2>&1; do
		tries=$((tries - 1))
		[ $tries -gt 0 ] || fail "timed out; expected: $what"
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

# complete ENTRY MAX_TOKENS PROMPT [curl options...]: sends a completion request to the entry
# daemon at this address and prints the JSON answer.
complete()
{
	local entry=$1 tokens=$2 prompt=$3

	shift 3
	http -H "Authorization: Bearer $TOKEN_0" "$@" \
		-d "{\"model\":\"m1\",\"prompt\":\"$prompt\",\"max_tokens\":$tokens}" \
		"http://$entry/v1/completions"
}

# complete_stream ENTRY MAX_TOKENS PROMPT [curl options...]: sends a streamed completion request
# and prints the event stream.
complete_stream()
{
	local entry=$1 tokens=$2 prompt=$3

	shift 3
	http -N -H "Authorization: Bearer $TOKEN_0" "$@" \
		-d "{\"model\":\"m1\",\"prompt\":\"$prompt\",\"max_tokens\":$tokens,\"stream\":true}" \
		"http://$entry/v1/completions"
}

# complete_once ENTRY KEY MAX_TOKENS: sends a non-idempotent completion request with this
# idempotency key and prints the JSON answer.
complete_once()
{
	complete "$1" "$3" "confirm $2" -H 'Bg-Idempotent: no' -H "Idempotency-Key: $2"
}

# text_of FILE: prints the completion text of the JSON answer in a file.
text_of()
{
	jq -r '.choices[0].text' <"$1"
}

# has_run_started KEY: succeeds if the runs with this idempotency key have produced at least 5
# tokens.
has_run_started()
{
	[ "$(ledger --arg k "$1" '[.runs[] | select(.key == $k) | .tokens] | add // 0')" -ge 5 ]
}

# stream_text FILE: prints the completion text of the event stream in a file.
stream_text()
{
	sed -n 's/^data: {/{/p' "$1" | jq -j '.choices[0].text // empty'
}

# expect_all_tokens TEXT COUNT: fails unless the text has the tokens 0 to COUNT - 1, each once and
# in order.
expect_all_tokens()
{
	local got

	got=$(tr ' ' '\n' <<<"$1" | sed -n 's/:.*//p' | tr '\n' ' ')
	[ "$got" = "$(seq -s ' ' 0 $(($2 - 1))) " ] || fail "tokens are missing, repeated or out of order: $1"
}

# inject_engine_fault ENDPOINT FAULT [FACTOR]: injects a fault into a simulated engine. The faults
# "revive" and "wake" end earlier ones.
inject_engine_fault()
{
	http -d "{\"endpoint\":\"$1\",\"fault\":\"$2\",\"factor\":${3:-1}}" "http://$ENGINE_ADMIN/fault" \
		>/dev/null
}

# inject_platform_fault JSON: sets the faults of the simulated platform.
inject_platform_fault()
{
	http -d "$1" "http://$PLATFORM/fault" >/dev/null
}

# ledger [jq options...] FILTER: applies a jq filter to the record of all runs at the simulated
# engines.
ledger()
{
	http "http://$ENGINE_ADMIN/ledger" | jq "$@"
}

# Fails if an engine has run a request's layers out of order.
expect_layers_in_order()
{
	[ "$(ledger '[.runs[].layer_violations] | add')" = 0 ] || fail "layers were run out of order"
}

# expect_one_attempt KEY: fails unless the runs with this idempotency key add up to exactly one
# attempt.
expect_one_attempt()
{
	local n

	n=$(ledger --arg k "$1" '[.runs[] | select(.key == $k) | .attempts] | add // 0')
	[ "$n" = 1 ] || fail "key $1 ran $n times"
}

# has_tokens FILE COUNT: succeeds if the event stream in a file has at least COUNT tokens.
has_tokens()
{
	[ -f "$1" ] && [ "$(grep -c '"text"' "$1")" -ge "$2" ]
}
