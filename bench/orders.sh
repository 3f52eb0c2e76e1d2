#!/usr/bin/env bash
# Measures the latency that a VM adds to an order, including the write of the order's
# claim, and the table transactions that orders cause.
set -euo pipefail
cd "$(dirname "$0")/.."
. demo/fleet.sh
seconds=${SECONDS_EACH:-15}
start runner "$bin/standin" runner --listen 127.0.0.1:7003
fleet 3 >/dev/null
ranks_and_services >/dev/null
op endpoint add --service orders --slots 64 desk 127.0.0.1:7003 >/dev/null
caller=$(op account create --rank urgent --tokens 2000000000 bench | secret_in)
in_force
transactions() { call http://127.0.0.1:7000/admin/counts | sed 's/.*"transactions":\([0-9]*\).*/\1/'; }
"$bin/standin" load --orders --path warm=http://127.0.0.1:7301/v1/services/orders/orders --secret "$caller" --rate 20 --for 2s >/dev/null
before=$(transactions)
"$bin/standin" load --orders --path straight=http://127.0.0.1:7003/orders \
	--path router=http://127.0.0.1:7301/v1/services/orders/orders --secret "$caller" --rate 20 --for "${seconds}s"
echo "table transactions: $(($(transactions) - before)) in ${seconds} s, including those not made for orders"
