# Tests that a success bears its endpoint's seal, whatever the seal's line looks like; see regress/soak/cases_odd.py.
set -euo pipefail

cd "$(dirname "$0")/../soak"
python3 cases_odd.py odd_seal
