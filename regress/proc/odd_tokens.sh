# Tests that requests with odd numbers of tokens do not make a host refuse all streams; see regress/soak/cases_odd.py.
set -euo pipefail

cd "$(dirname "$0")/../soak"
python3 cases_odd.py token_counts
