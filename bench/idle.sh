#!/usr/bin/env bash
# Measures the cost of one of eight idle VMs: processor time, memory, and bytes of
# control traffic through its links.
set -euo pipefail
cd "$(dirname "$0")/.."
. demo/fleet.sh
seconds=${SECONDS_EACH:-60}
fleet 8 linked >/dev/null
ranks_and_services >/dev/null
in_force
sleep 5
ticks() { awk '{ print $14 + $15 }' "/proc/$(id_of entry1)/stat"; }
bytes() { call "http://127.0.0.1:$1/" | sed 's/.*"bytes":\([0-9]*\).*/\1/'; }
cpu=$(ticks) peers=$(bytes 7601) table=$(bytes 7701)
sleep "$seconds"
cpu=$(($(ticks) - cpu)) peers=$(($(bytes 7601) - peers)) table=$(($(bytes 7701) - table))
awk -v cpu="$cpu" -v s="$seconds" -v p="$peers" -v t="$table" -v m="$(awk '/VmRSS/ { print $2 }' "/proc/$(id_of entry1)/status")" 'BEGIN {
	printf "one of 8 idle VMs over %d s: processor %.2f%% of a core, memory %.1f MB\n", s, cpu / s, m / 1024
	printf "peer datagrams through its link %.0f B/s (about half of what it sends and receives), table calls %.0f B/s\n", p / s, t / s
}'
