# Tests streams that are resumed while their callers are behind; see regress/soak/cases_slow.py.
set -euo pipefail

cd "$(dirname "$0")/../soak"
python3 cases_slow.py resumed
python3 cases_slow.py engine_restarts
