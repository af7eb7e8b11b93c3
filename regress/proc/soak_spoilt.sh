# Runs the fault soak with spoilt seals with two fixed seeds; see regress/soak/soak.py.
set -euo pipefail

cd "$(dirname "$0")/../soak"
python3 soak.py --seeds 7-8 --seconds 10 --spoilt
