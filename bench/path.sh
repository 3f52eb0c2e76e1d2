#!/usr/bin/env bash
# Measures the latency that a VM adds to the first token and between tokens, compared
# with direct requests to the engine. With 64 concurrent callers, measures the VM's
# requests a second and the processor time that they cost.
set -euo pipefail
cd "$(dirname "$0")/.."
. demo/fleet.sh
seconds=${SECONDS_EACH:-15}
start engine1 "$bin/standin" engine --listen 127.0.0.1:7001 --slots 2000 --queue 100 --token-time 2ms
fleet 3 >/dev/null
ranks_and_services >/dev/null
op endpoint add --service small --slots 2000 engine1 127.0.0.1:7001 >/dev/null
caller=$(op account create --rank urgent --tokens 2000000000 bench | secret_in)
in_force
"$bin/standin" load --path warm=http://127.0.0.1:7301 --secret "$caller" --rate 20 --for 3s >/dev/null
for rate in 1 20 100; do
	"$bin/standin" load --path straight=http://127.0.0.1:7001 --path router=http://127.0.0.1:7301 \
		--secret "$caller" --rate "$rate" --for "${seconds}s" --answer 20
done
ticks() { awk '{ print $14 + $15 }' "/proc/$(id_of entry2)/stat"; }
echo "closed loop: 64 concurrent callers through entry2, 20 tokens a response:"
before=$(ticks)
"$bin/standin" load --path router=http://127.0.0.1:7302 --secret "$caller" --closed 64 --for "${seconds}s" --answer 20
echo "entry2 used $(((($(ticks) - before)) * 10)) ms of processor time in ${seconds} s"
