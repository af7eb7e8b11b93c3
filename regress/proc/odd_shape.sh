# Tests that a request is served or refused, whatever its head has many of; see regress/soak/cases_odd.py.
set -euo pipefail

cd "$(dirname "$0")/../soak"
python3 cases_odd.py heads_of_any_shape
