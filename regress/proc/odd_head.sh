# Tests that HEAD requests are answered; see regress/soak/cases_odd.py.
set -euo pipefail

cd "$(dirname "$0")/../soak"
python3 cases_odd.py head_method
