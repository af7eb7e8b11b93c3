# Tests that only the configuration's own key is the configuration; see regress/soak/cases_versions.py.
set -euo pipefail

cd "$(dirname "$0")/../soak"
python3 cases_versions.py other_key
