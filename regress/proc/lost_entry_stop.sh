# Guards against requests that end with the process of an entry daemon or a control daemon that stops.
. "$(dirname "$0")/../lib.sh"
start_stack --hosts 2 --endpoints 2

for daemon in "$ENTRY_0 $PID_ENTRY_0" "$CONTROL_0 $PID_CONTROL_0"; do
	read -r addr pid <<<"$daemon"
	python3 "$here/regress/soak/cases_lost.py" crowd_at "${addr##*:}" "$pid"
done
