# Tests when answers to callers that read slowly or nothing are broken off; see regress/soak/cases_slow.py.
set -euo pipefail

cd "$(dirname "$0")/../soak"
python3 cases_slow.py reads_nothing
python3 cases_slow.py reads_a_little
