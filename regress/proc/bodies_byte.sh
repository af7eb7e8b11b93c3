# Tests that callers who send a byte a second are ended and cost others nothing; see regress/soak/cases_bodies.py.
set -euo pipefail

cd "$(dirname "$0")/../soak"
python3 cases_bodies.py byte_a_second
