# Tests that an attempt without a head is not judged by an earlier one's; see regress/soak/cases_odd.py.
set -euo pipefail

cd "$(dirname "$0")/../soak"
python3 cases_odd.py stale_head
