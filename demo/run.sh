#!/usr/bin/env bash
# Runs the whole path on loopback: a platform, two engines, a runner and three
# routers in two failure domains, with accounts of both users. It ends every
# process that it started, by its id.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$PWD/.bin
work=$(mktemp -d)
ids=()
clean() {
	for id in "${ids[@]}"; do kill "$id" 2>/dev/null && wait "$id" 2>/dev/null || true; done
	rm -rf "$work"
}
trap clean EXIT

start() { # start NAME PROGRAM ARGS...
	local name=$1
	shift
	"$@" >"$work/$name.log" 2>&1 &
	ids+=($!)
	eval "id_$name=$!"
}
ready() { # ready URL
	for _ in $(seq 200); do
		curl -fsS "$1" >/dev/null 2>&1 && return
		sleep 0.05
	done
	echo "no answer from $1" >&2
	tail -n 20 "$work"/*.log >&2
	exit 1
}
op() { "$bin/hawthornspar" --entry 127.0.0.1:7101 --entry 127.0.0.1:7102 --entry 127.0.0.1:7103 "$@"; }
say() { printf '\n== %s\n' "$*"; }

say "platform, endpoints and three routers in two failure domains"
start platform "$bin/standin" platform --listen 127.0.0.1:7000
start engine1 "$bin/standin" engine --listen 127.0.0.1:7001
start engine2 "$bin/standin" engine --listen 127.0.0.1:7002
start runner "$bin/standin" runner --listen 127.0.0.1:7003
ready http://127.0.0.1:7000/vms
curl -fsS -d '{"vms":[
	{"name":"entry1","address":"127.0.0.1:7201","domain":"north"},
	{"name":"entry2","address":"127.0.0.1:7202","domain":"south"},
	{"name":"entry3","address":"127.0.0.1:7203","domain":"south"}]}' http://127.0.0.1:7000/admin/vms >/dev/null
op keys authority --directory "$work"
bootstrap=$(op keys secret)
domains=(north south south)
for i in 1 2 3; do
	op keys vm --directory "$work" "entry$i"
	start "entry$i" env HAWTHORNSPAR_PLATFORM=127.0.0.1:7000 HAWTHORNSPAR_AUTHORITY="$work/authority.pem" \
		"$bin/hawthornspard" --name "entry$i" --failure-domain "${domains[i - 1]}" \
		--listen "127.0.0.1:710$((i + 3))" --operator-listen "127.0.0.1:710$i" \
		--peer-listen "127.0.0.1:720$i" --peer-address "127.0.0.1:720$i" \
		--certificate "$work/entry$i.pem" --key "$work/entry$i.key" \
		--bootstrap-hash "${bootstrap##*hash=}"
done
for i in 1 2 3; do ready "http://127.0.0.1:710$i/readyz"; done

say "an operator sets up ranks, services, endpoints and accounts"
export HAWTHORNSPAR_SECRET
HAWTHORNSPAR_SECRET=$(sed -n 's/^secret=//p' <<<"$bootstrap")
HAWTHORNSPAR_SECRET=$(op operator create anna | sed -n 's/^secret=//p')
op rank put --order 0 --target 1800ms --worth 20 urgent
op rank put --order 1 --target 30s --worth 5 --floor 15 normal
op rank put --order 2 --target 60s --worth 1 --floor 5 bulk
op service put --max-tokens 4000 small
op service put --kind app --price 10 orders
op endpoint add --service small --slots 16 engine1 127.0.0.1:7001
op endpoint add --service small --slots 16 engine2 127.0.0.1:7002
op endpoint add --service orders --slots 8 desk 127.0.0.1:7003
workshop=$(op account create --rank urgent --tokens 50000 pedzlarnia | sed -n 's/^secret=//p')
cooperative=$(op account create --rank urgent --tokens 50000 kandyan | sed -n 's/^secret=//p')
tiny=$(op account create --rank bulk --tokens 60 tiny | sed -n 's/^secret=//p')
until [ "$(op query vms | awk 'NR > 1 { print $6 }' | sort -u | wc -l)" = 1 ]; do sleep 0.1; done

chat() { # chat PORT SECRET RANK PROMPT STREAM
	curl -sS -N "http://127.0.0.1:$1/v1/chat/completions" -H "Authorization: Bearer $2" -H "Hawthornspar-Rank: $3" \
		-d "{\"model\":\"small\",\"max_tokens\":40,\"stream\":$5,\"messages\":[{\"role\":\"user\",\"content\":\"$4\"}]}"
}
words() { sed -n 's/.*"content":"\([^"]*\)".*/\1/p; s/^: \(billed=.*\)/\n\1 tokens/p' | tr -d '\n' | sed 's/billed/\nbilled/'; echo; }
say "urgent, through entry1: a loft-height lookup"
chat 7104 "$workshop" urgent "answer:8 loft height of badger knot 26" true | words
say "normal, through entry2: a consignment summary"
chat 7105 "$cooperative" normal "answer:16 summarise consignment 118" true | words
say "bulk, through entry3: a catalogue tag"
chat 7106 "$cooperative" bulk "answer:4 tag strainer 9" true | words
say "an order, through entry3, sent twice with one key: it runs once"
for _ in 1 2; do
	curl -sS http://127.0.0.1:7106/v1/services/orders/orders -H "Authorization: Bearer $cooperative" \
		-H 'Idempotency-Key: crate-1' -d '{"ref":"crate-1","item":"strainer"}'
done
echo "the order desk's own count: $(curl -sS http://127.0.0.1:7003/admin/counts)"
say "a true refusal: 60 prepaid tokens do not cover the worst case"
chat 7104 "$tiny" bulk "answer:4 tag strainer 10" false
say "what is left"
sleep 2.5 # charges are written every 2 s
op query budgets order by account
op query grants where spent '>' 0

say "graceful stop of all routers"
for name in entry1 entry2 entry3; do
	eval "id=\$id_$name"
	kill -TERM "$id"
done
for name in entry1 entry2 entry3; do
	eval "id=\$id_$name"
	wait "$id" && echo "$name ended with 0"
done
