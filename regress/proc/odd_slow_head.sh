# Tests that heads of requests which never end are ended by the host; see regress/soak/cases_odd.py.
set -euo pipefail

cd "$(dirname "$0")/../soak"
python3 cases_odd.py heads_without_end
