# Tests that a request whose id is no UTF-8 text does not end its host; see regress/soak/cases_lost.py.
set -euo pipefail

cd "$(dirname "$0")/../soak"
python3 cases_lost.py id_not_utf8
