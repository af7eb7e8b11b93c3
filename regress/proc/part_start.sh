# Tests a start of all hosts while prompts with a part that crashes engines keep coming; see
# regress/soak/cases_part.py.
set -euo pipefail

cd "$(dirname "$0")/../soak"
python3 cases_part.py all_start || {
	echo "part_start.sh: case all_start failed" >&2
	exit 1
}
