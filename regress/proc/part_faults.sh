# Tests prompts with a part that crashes engines beside other faults, and sound ones that must not be
# taken for such. Each case of regress/soak/cases_part.py starts its own set of processes.
set -euo pipefail

cd "$(dirname "$0")/../soak"
for case in ends lists all_start_unread store_away cut_off cleared whole; do
	python3 cases_part.py "$case" || {
		echo "part_faults.sh: case $case failed" >&2
		exit 1
	}
done
