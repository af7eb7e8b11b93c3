# Symptom: an answer stops in the middle, or continues with layers left out.
# Sequence: in the middle of an answer, a stage of the pipeline crashes, stops sending, or its
# connection stops delivering data.
# Cause: the run is lost or unreachable. Another pipeline must continue after the last delivered
# token.
. "$(dirname "$0")/../lib.sh"
start_stack --hosts 2 --endpoints 4

# endpoint_of_stage STAGE: prints the endpoint that runs this stage (1 is the first), from the
# Bg-Route header.
endpoint_of_stage()
{
	tr -d '\r' <"$dir/headers" | sed -n 's/^Bg-Route: //p' | cut -d, -f"$1" | cut -d: -f1
}

# expect_answer_despite_fault STAGE FAULT: injects the fault at this stage's endpoint in the
# middle of an answer and checks that the answer is complete.
expect_answer_despite_fault()
{
	local stage=$1 fault=$2 endpoint pid

	rm -f "$dir/answer" "$dir/headers"
	complete_stream "$ENTRY_0" 60 "hit $stage $fault" -D "$dir/headers" >"$dir/answer" &
	pid=$!
	eventually "ten tokens have arrived" has_tokens "$dir/answer" 10
	endpoint=$(endpoint_of_stage "$stage")
	inject_engine_fault "$endpoint" "$fault"
	wait $pid
	expect_all_tokens "$(stream_text "$dir/answer")" 60
	grep -q '^data: \[DONE\]' "$dir/answer" || fail "no end mark: $fault of stage $stage"
	inject_engine_fault "$endpoint" revive
	inject_engine_fault "$endpoint" wake
	eventually "all endpoints admitted" all_admitted
}

all_admitted()
{
	[ "$(bgctl show endpoints | grep -c admitted)" = 4 ]
}

for stage in 1 2; do
	expect_answer_despite_fault $stage die
	expect_answer_despite_fault $stage silent
done
expect_answer_despite_fault 1 mute
expect_layers_in_order
