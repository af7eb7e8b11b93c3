# Tests that an answer goes on while its caller reads a little; see regress/soak/cases_slow.py.
set -euo pipefail

cd "$(dirname "$0")/../soak"
python3 cases_slow.py reads_a_little
