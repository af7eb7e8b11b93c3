# Tests the router with endpoints that state a request limit while hosts, endpoints or the store
# fail; see regress/soak/cases_limit.py.
set -euo pipefail

cd "$(dirname "$0")/../soak"
for case in unreadable home_is_lost store_away starts_anew streams; do
	python3 cases_limit.py "$case" || {
		echo "limit_faults.sh: case $case failed" >&2
		exit 1
	}
done
