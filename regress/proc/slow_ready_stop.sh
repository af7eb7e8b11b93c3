# Tests that answers which are ready outlive a stop of their host; see regress/soak/cases_slow.py.
set -euo pipefail

cd "$(dirname "$0")/../soak"
python3 cases_slow.py ready_at_stop
