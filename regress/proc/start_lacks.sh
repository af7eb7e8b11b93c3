# Tests that a router which lacks descriptors for its start says so and exits, instead of ending by a
# signal or running without one of its threads.
set -euo pipefail

here=$(cd "$(dirname "$0")/../.." && pwd)
bin=${BUILD:-$here/build}
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT

sed 's/127.0.0.1:[0-9]*/127.0.0.1:0/' "$here/regress/settings/router-good.ini" >"$dir/ini"
for limit in 6 7 8 9 10 11 12 13; do
	status=0
	(ulimit -n "$limit" && exec "$bin/bgrouterd" --config "$dir/ini") >"$dir/out" 2>&1 || status=$?
	if [ "$status" -ne 1 ] || ! grep -q 'start_failed\|listen_failed' "$dir/out"; then
		echo "start_lacks.sh: status $status with $limit descriptors; the log:" >&2
		cat "$dir/out" >&2
		exit 1
	fi
done
