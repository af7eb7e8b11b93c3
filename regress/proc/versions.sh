# Tests that requests keep the configuration that they were admitted under; see regress/soak/cases_versions.py.
set -euo pipefail

cd "$(dirname "$0")/../soak"
python3 cases_versions.py each_state
