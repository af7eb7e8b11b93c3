# Tests that answers without end cost a host neither memory nor time (slow); see regress/soak/cases_endless.py.
set -euo pipefail

cd "$(dirname "$0")/../soak"
python3 cases_endless.py slow
