# Tests that a host holds each body of a request once; see regress/soak/cases_bodies.py.
set -euo pipefail

cd "$(dirname "$0")/../soak"
python3 cases_bodies.py held_once
