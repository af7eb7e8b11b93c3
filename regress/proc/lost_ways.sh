# Tests ways in which callers' connections can end; see regress/soak/cases_lost.py.
set -euo pipefail

cd "$(dirname "$0")/../soak"
for name in half_closed idle_limit_grows idle_limit_ends stop_beside_silence reload_under_load; do
	python3 cases_lost.py $name
done
