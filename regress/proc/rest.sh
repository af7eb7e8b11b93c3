# Tests the router with endpoints that ask a host to pause its requests for some time; see
# regress/soak/cases_rest.py.
set -euo pipefail

cd "$(dirname "$0")/../soak"
for case in engine_asks engine_rejects nobody_left used_again reports_wait starts_anew other_statuses longest_holds; do
	python3 cases_rest.py "$case" || {
		echo "rest.sh: case $case failed" >&2
		exit 1
	}
done
