# Tests that a tunnel on a connection of a feed does not end its host; see regress/soak/cases_odd.py.
set -euo pipefail

cd "$(dirname "$0")/../soak"
python3 cases_odd.py tunnel_after_feed
