# Tests answers of endpoints that stand still beside new configurations; see regress/soak/cases_silence.py.
set -euo pipefail

cd "$(dirname "$0")/../soak"
python3 cases_silence.py silence_beside_versions
