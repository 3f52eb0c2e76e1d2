#!/usr/bin/env bash
# run.sh [FIRST [LAST [OPTION...]]] runs the soak test with the seeds FIRST to LAST,
# one after the other, each with new daemons, and prints one line per seed and one
# per violation. FIRST is 1 by default, and LAST is FIRST. Options go to cmd/soak.
# The logs of a failed seed are kept. The script kills only processes that it
# started, by process id.
set -u
cd "$(dirname "$0")/.."
first=${1:-1} last=${2:-${1:-1}}
shift $(( $# < 2 ? $# : 2 ))
vms=10
for ((i = 1; i < $#; i++)); do
	j=$((i + 1))
	[ "${!i}" = --vms ] && vms=${!j}
done
bin=$(mktemp -d)
go build -o "$bin/" ./cmd/hawthornspard ./cmd/soak || exit 2

# supervise DIR NAME restarts a VM's daemon whenever it ends, as the platform does
# after a crash or a shutdown. It starts none before NAME.conf exists or while
# NAME.off exists, and returns once the file "end" exists and the daemon has ended.
supervise() {
	local dir=$1 name=$2
	while [ ! -e "$dir/end" ]; do
		if [ -e "$dir/$name.conf" ] && [ ! -e "$dir/$name.off" ]; then
			"$bin/hawthornspard" gateway --settings "$dir/$name.conf" >>"$dir/$name.log" 2>&1 &
			echo $! >"$dir/$name.pid.new" && mv "$dir/$name.pid.new" "$dir/$name.pid"
			wait $! 2>/dev/null
			rm -f "$dir/$name.pid"
		fi
		sleep 0.3
	done
}

failed=0
for ((seed = first; seed <= last; seed++)); do
	dir=$(mktemp -d "${TMPDIR:-/tmp}/soak-$seed.XXXX")
	supervisors=()
	for ((n = 0; n < vms; n++)); do
		supervise "$dir" "vm$n" 2>/dev/null &
		supervisors+=($!)
	done
	"$bin/soak" --dir "$dir" --seed "$seed" "$@" >"$dir/soak.log"
	code=$?
	touch "$dir/end"
	for pid in "$dir"/*.pid; do
		[ -e "$pid" ] && kill -CONT "$(cat "$pid")" 2>/dev/null && kill -KILL "$(cat "$pid")" 2>/dev/null
	done
	wait "${supervisors[@]}" 2>/dev/null
	grep -E '^(seed|  BROKEN)' "$dir/soak.log" || echo "seed $seed: did not play, code $code"
	if [ $code -ne 0 ]; then
		failed=1
		echo "  schedule and logs: $dir; again: soak/run.sh $seed $seed $*"
	else
		rm -rf "$dir"
	fi
done
rm -rf "$bin"
exit $failed
