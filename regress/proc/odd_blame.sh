# Tests that an endpoint is not blamed for an attempt at another; see regress/soak/cases_odd.py.
set -euo pipefail

cd "$(dirname "$0")/../soak"
python3 cases_odd.py late_blame
