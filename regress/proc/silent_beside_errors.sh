# Tests that a request isn't lost with the endpoint that replaces a silent one; see regress/soak/cases_silence.py.
set -euo pipefail

cd "$(dirname "$0")/../soak"
python3 cases_silence.py silent_beside_errors
