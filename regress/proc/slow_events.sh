# Tests streams of large events to callers that read slowly; see regress/soak/cases_slow.py.
set -euo pipefail

cd "$(dirname "$0")/../soak"
python3 cases_slow.py large_events
