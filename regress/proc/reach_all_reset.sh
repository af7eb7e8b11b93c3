# Tests a cut of all hosts from all endpoints by resets; see regress/soak/cases_reach.py.
set -euo pipefail

cd "$(dirname "$0")/../soak"
python3 cases_reach.py all_reset || {
	echo "reach_all_reset.sh: case all_reset failed" >&2
	exit 1
}
