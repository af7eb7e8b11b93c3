# Tests that no answer whose length is not to be trusted is taken for whole; see regress/soak/cases_odd.py.
set -euo pipefail

cd "$(dirname "$0")/../soak"
python3 cases_odd.py odd_length
