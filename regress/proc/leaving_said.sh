# Tests the router with endpoints that announce in their answers that they are leaving; see
# regress/soak/cases_rest.py.
set -euo pipefail

cd "$(dirname "$0")/../soak"
for case in leaving leaving_engine not_leaving leaving_stays unknown_header; do
	python3 cases_rest.py "$case" || {
		echo "leaving_said.sh: case $case failed" >&2
		exit 1
	}
done
