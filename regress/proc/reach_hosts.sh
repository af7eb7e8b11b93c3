# Tests hosts that are cut off beside the loss of other hosts, their orders and their news; see
# regress/soak/cases_reach.py.
set -euo pipefail

cd "$(dirname "$0")/../soak"
for case in gateway_killed gateway_frozen gateway_stops news start_within caller_leaves; do
	python3 cases_reach.py "$case" || {
		echo "reach_hosts.sh: case $case failed" >&2
		exit 1
	}
done
