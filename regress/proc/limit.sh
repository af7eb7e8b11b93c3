# Tests the router with endpoints that state a request limit in their answers; see
# regress/soak/cases_limit.py.
set -euo pipefail

cd "$(dirname "$0")/../soak"
for case in limit_named callers_at_one_host fraction_and_zero lifted nobody_takes_it; do
	python3 cases_limit.py "$case" || {
		echo "limit.sh: case $case failed" >&2
		exit 1
	}
done
