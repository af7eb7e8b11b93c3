# Tests prompts with a part that crashes each engine that begins to answer on it. Each case of
# regress/soak/cases_part.py starts its own set of processes.
set -euo pipefail

cd "$(dirname "$0")/../soak"
for case in part often two slowly unheard first; do
	python3 cases_part.py "$case" || {
		echo "part.sh: case $case failed" >&2
		exit 1
	}
done
