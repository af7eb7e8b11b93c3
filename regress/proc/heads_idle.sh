# Tests what kept connections cost a host, also after large heads; see regress/soak/cases_heads.py.
set -euo pipefail

cd "$(dirname "$0")/../soak"
python3 cases_heads.py idle_memory
