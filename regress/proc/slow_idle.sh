# Tests that an answer is broken off when its caller reads nothing for the idle timeout; see regress/soak/cases_slow.py.
set -euo pipefail

cd "$(dirname "$0")/../soak"
python3 cases_slow.py reads_nothing
