# Tests that a resume after the last event of a stream is answered; see regress/soak/cases_odd.py.
set -euo pipefail

cd "$(dirname "$0")/../soak"
python3 cases_odd.py empty_resume
