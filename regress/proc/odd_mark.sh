# Tests that only a mark that says so is taken for "not run"; see regress/soak/cases_odd.py.
set -euo pipefail

cd "$(dirname "$0")/../soak"
python3 cases_odd.py odd_mark
