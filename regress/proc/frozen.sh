# Symptom: a request runs a second time long after another host has served its caller; or requests
# hang while a control daemon is stopped.
# Sequence: a daemon is stopped (SIGSTOP) with requests in progress and continued later (SIGCONT).
# Cause: the continued process acts on state that was valid before the pause.
. "$(dirname "$0")/../lib.sh"
start_stack --hosts 3 --endpoints 4

# The entry daemon is stopped in the middle of an answer. Another host resumes the run at the
# engine.
complete_once "$ENTRY_0" frozen 100 >"$dir/a" &
a=$!
eventually "the run has begun" has_run_started frozen
kill -STOP "$PID_ENTRY_0"
complete_once "$ENTRY_1" frozen 100 >"$dir/b"
expect_all_tokens "$(text_of "$dir/b")" 100
kill -CONT "$PID_ENTRY_0"
wait $a
expect_all_tokens "$(text_of "$dir/a")" 100
expect_one_attempt frozen

# Each control daemon is stopped in turn. Idempotent and non-idempotent requests are served
# through the other ones.
for pid in $PID_CONTROL_0 $PID_CONTROL_1 $PID_CONTROL_2; do
	kill -STOP "$pid"
	for entry in $ENTRY_0 $ENTRY_1 $ENTRY_2; do
		complete "$entry" 4 "while $pid is frozen" >"$dir/a"
		expect_all_tokens "$(text_of "$dir/a")" 4
		complete_once "$entry" "key-$pid-$entry" 4 >"$dir/a"
		expect_all_tokens "$(text_of "$dir/a")" 4
		expect_one_attempt "key-$pid-$entry"
	done
	kill -CONT "$pid"
done
expect_layers_in_order
