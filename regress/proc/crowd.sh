# Tests a host that the platform hands most new connections, and answers that end with their
# connection. Each case of regress/soak/cases_crowd.py starts its own set of processes.
set -euo pipefail

cd "$(dirname "$0")/../soak"
for case in one_host bursts unframed unframed_killed; do
	python3 cases_crowd.py "$case" || {
		echo "crowd.sh: case $case failed" >&2
		exit 1
	}
done
