# Tests that bodies of requests don't fill a host's memory; see regress/soak/cases_bodies.py.
set -euo pipefail

cd "$(dirname "$0")/../soak"
python3 cases_bodies.py bound
