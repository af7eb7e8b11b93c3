# Tests that heads of any shape within the limits are served; see regress/soak/cases_heads.py.
set -euo pipefail

cd "$(dirname "$0")/../soak"
python3 cases_heads.py grid
