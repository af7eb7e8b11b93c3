# Tests the router with a store that is restored from a copy some seconds old; see
# regress/soak/cases_copy.py.
set -euo pipefail

cd "$(dirname "$0")/../soak"
for case in configuration endpoint_registers removed_endpoint orders host_started partitioned; do
	python3 cases_copy.py "$case" || {
		echo "copy.sh: case $case failed" >&2
		exit 1
	}
done
