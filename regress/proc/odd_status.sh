# Tests that an answer that switches protocols does not keep its caller waiting; see regress/soak/cases_odd.py.
set -euo pipefail

cd "$(dirname "$0")/../soak"
python3 cases_odd.py odd_status
