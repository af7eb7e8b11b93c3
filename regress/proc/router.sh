# Tests the router on the users' platform, with substitutes for the platform's store and engines.
# Each case of regress/soak/cases.py starts its own set of processes.
set -euo pipefail

cd "$(dirname "$0")/../soak"
for case in path config age_of_the_view load_is_shown store_away_at_start start_in_an_outage asked_while_it_starts settings spread lost_stage repair_refused engine_stands_still stop stop_refuses feed drain once caller_leaves \
	dead_in_outage state restart_same_id foreign_entries between_pages; do
	python3 cases.py "$case" || {
		echo "router.sh: case $case failed" >&2
		exit 1
	}
done
