# Tests streams at endpoints that stand still, which is no crash; see regress/soak/cases_silence.py.
set -euo pipefail

cd "$(dirname "$0")/../soak"
python3 cases_silence.py silence_is_no_crash
