# Tests that no request ends with a host that gets another request's answer; see regress/soak/cases_lost.py.
set -euo pipefail

cd "$(dirname "$0")/../soak"
python3 cases_lost.py foreign_answer
