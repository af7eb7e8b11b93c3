# Tests cuts of all hosts, of half of the endpoints, and ones that come and go; see
# regress/soak/cases_reach.py.
set -euo pipefail

cd "$(dirname "$0")/../soak"
for case in all_hang half standstill flapping; do
	python3 cases_reach.py "$case" || {
		echo "reach_all.sh: case $case failed" >&2
		exit 1
	}
done
