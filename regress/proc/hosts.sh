# Symptom: requests to a working host fail or hang because another host is down.
# Sequence: control daemons are killed while the platform's host list still contains them; then
# all of them are killed; then they are restarted.
# Cause: the entry daemon waits for a host only because the list contains it.
. "$(dirname "$0")/../lib.sh"
start_stack --hosts 3 --endpoints 4

inject_platform_fault '{"hosts_frozen":true}'
complete_stream "$ENTRY_1" 80 "over a lost home" >"$dir/s" &
pid=$!
eventually "the stream has begun" has_tokens "$dir/s" 5
kill -KILL "$PID_CONTROL_0" "$PID_CONTROL_1"
for i in 1 2 3; do
	complete "$ENTRY_2" 4 "one control daemon left $i" >"$dir/a"
	expect_all_tokens "$(text_of "$dir/a")" 4
done
wait $pid
expect_all_tokens "$(stream_text "$dir/s")" 80

# No control daemon is left. Entry daemons choose endpoints alone, from the last state they
# received.
kill -KILL "$PID_CONTROL_2"
for entry in $ENTRY_0 $ENTRY_1 $ENTRY_2; do
	complete "$entry" 4 "no control daemon left" >"$dir/a"
	expect_all_tokens "$(text_of "$dir/a")" 4
done
http "http://$ENTRY_0/metrics" | grep -q '^bg_grants_decided_alone_total' || fail "the metric bg_grants_decided_alone_total is missing"

# The control daemons restart and become homes of requests again.
inject_platform_fault '{"hosts_frozen":false}'
start_daemon control-0
start_daemon control-1
start_daemon control-2
is_home()
{
	complete "$ENTRY_1" 2 "back" >/dev/null
	[ "$(bgctl show bound 2>/dev/null | grep -c host-)" -ge 1 ]
}
eventually "a control daemon is home again" is_home

# If a host's control daemon stays down, its entry daemon gets the configuration from another host.
kill -KILL "$PID_CONTROL_2"
has_revision()
{
	[ "$(http "http://$ENTRY_2/metrics" | sed -n 's/^bg_config_revision{} //p')" = "$1" ]
}
bgctl account mill share 2 >"$dir/a"
eventually "host-2 has the change from another host" has_revision "$(sed -n 's/.*revision //p' "$dir/a")"
expect_layers_in_order
