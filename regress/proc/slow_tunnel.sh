# Tests answers through other hosts to callers that read slowly; see regress/soak/cases_slow.py.
set -euo pipefail

cd "$(dirname "$0")/../soak"
python3 cases_slow.py tunnel
python3 cases_slow.py tunnel_host_killed
