# Tests that no request ends with the process of a host that stops; see regress/soak/cases_lost.py.
set -euo pipefail

cd "$(dirname "$0")/../soak"
python3 cases_lost.py stopping_crowd
