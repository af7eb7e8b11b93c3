# Runs the soak test with large answers and callers that read slowly, with fixed seeds.
set -euo pipefail

cd "$(dirname "$0")/../soak"
python3 soak.py --seeds 3000-3002 --seconds 12 --slow --keep
python3 soak.py --seeds 3100 --seconds 12 --hosts 4 --cuts --slow --keep
