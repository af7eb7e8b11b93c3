# Tests that hosts which are cut off from all endpoints serve their callers; see
# regress/soak/cases_reach.py.
set -euo pipefail

cd "$(dirname "$0")/../soak"
for case in hang accept reset refuse; do
	python3 cases_reach.py "$case" || {
		echo "reach.sh: case $case failed" >&2
		exit 1
	}
done
