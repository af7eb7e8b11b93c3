# Runs the soak test with injected faults for a short time, with fixed seeds and with each seed in
# seeds.txt, which lists the seeds that failed before.
set -euo pipefail

cd "$(dirname "$0")/../soak"
python3 soak.py --seeds 1-2 --seconds 8 --keep
python3 soak.py --seeds 400-401 --seconds 12 --crashing --keep
python3 soak.py --seeds 900 --seconds 12 --rests --keep
python3 soak.py --seeds 903 --seconds 12 --rests --keep
python3 soak.py --seeds 1100 --seconds 8 --classes --keep
python3 soak.py --seeds 500-501 --seconds 12 --copies --keep
python3 soak.py --seeds 2000 --seconds 10 --hosts 4 --cuts --keep
while read -r seed _; do
	case $seed in
	'#'* | '') ;;
	*) python3 soak.py --seeds "$seed" --seconds 12 --keep ;;
	esac
done <seeds.txt
