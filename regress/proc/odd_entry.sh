# Tests that entries of a service that does not exist take no endpoint away; see regress/soak/cases_odd.py.
set -euo pipefail

cd "$(dirname "$0")/../soak"
python3 cases_odd.py entry_of_no_service
