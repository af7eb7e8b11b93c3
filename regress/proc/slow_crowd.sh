# Tests that many callers that read slowly neither fill a host's memory nor hold others up; see regress/soak/cases_slow.py.
set -euo pipefail

cd "$(dirname "$0")/../soak"
python3 cases_slow.py crowd
python3 cases_slow.py beside
