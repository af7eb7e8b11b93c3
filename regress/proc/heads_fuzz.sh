# Tests that hosts outlive spoilt heads and framing; see regress/soak/cases_heads.py.
set -euo pipefail

cd "$(dirname "$0")/../soak"
python3 cases_heads.py fuzz
