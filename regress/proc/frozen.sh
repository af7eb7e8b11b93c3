# Symptom: a request runs a second time, long after its caller was served elsewhere; or requests hang
# while a control daemon is frozen.
# Sequence: a daemon is stopped (SIGSTOP) with work in hand and goes on later (SIGCONT).
# Cause: a paused process acts on what was true before the pause.
. "$(dirname "$0")/../lib.sh"
stack --hosts 3 --endpoints 4

# The entry daemon is frozen mid answer; another host resumes the run from the engine.
confirm "$ENTRY_0" frozen 100 >"$dir/a" &
a=$!
eventually "the run has begun" running frozen
kill -STOP "$PID_ENTRY_0"
confirm "$ENTRY_1" frozen 100 >"$dir/b"
whole "$(text_of "$dir/b")" 100
kill -CONT "$PID_ENTRY_0"
wait $a
whole "$(text_of "$dir/a")" 100
ran_once frozen

# Each control daemon in turn is frozen: requests of both sorts go on at the others.
for pid in $PID_CONTROL_0 $PID_CONTROL_1 $PID_CONTROL_2; do
	kill -STOP "$pid"
	for entry in $ENTRY_0 $ENTRY_1 $ENTRY_2; do
		complete "$entry" 4 "while $pid is frozen" >"$dir/a"
		whole "$(text_of "$dir/a")" 4
		confirm "$entry" "key-$pid-$entry" 4 >"$dir/a"
		whole "$(text_of "$dir/a")" 4
		ran_once "key-$pid-$entry"
	done
	kill -CONT "$pid"
done
no_violations
