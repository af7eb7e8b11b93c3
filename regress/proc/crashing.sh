# Tests requests that crash each endpoint that runs them and that callers repeat at any host. Each
# case of regress/soak/cases.py starts its own set of processes.
set -euo pipefail

cd "$(dirname "$0")/../soak"
for case in crashing_request crashing_store_away crashing_all_start crashing_cut_off \
	crashing_later crashing_plain crashing_account crashing_cleared crashing_in_flight \
	crashing_not crashing_unheard crashing_ended crashing_all_cut crashing_popular; do
	python3 cases.py "$case" || {
		echo "crashing.sh: case $case failed" >&2
		exit 1
	}
done
