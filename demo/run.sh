#!/usr/bin/env bash
# Demonstrates all parts on loopback: a platform, two engines, an order desk, three
# VMs in two failure domains, and client accounts of a workshop and a cooperative.
set -euo pipefail
cd "$(dirname "$0")/.."
. demo/fleet.sh
say() { printf '\n== %s\n' "$*"; }

say "platform, endpoints and three VMs in two failure domains"
start engine1 "$bin/standin" engine --listen 127.0.0.1:7001
start engine2 "$bin/standin" engine --listen 127.0.0.1:7002
start runner "$bin/standin" runner --listen 127.0.0.1:7003
fleet 3

say "an operator sets up ranks, services, endpoints and accounts"
ranks_and_services
op endpoint add --service small --slots 16 engine1 127.0.0.1:7001
op endpoint add --service small --slots 16 engine2 127.0.0.1:7002
op endpoint add --service orders --slots 8 desk 127.0.0.1:7003
workshop=$(op account create --rank urgent --tokens 50000 pedzlarnia | secret_in)
cooperative=$(op account create --rank urgent --tokens 50000 kandyan | secret_in)
tiny=$(op account create --rank bulk --tokens 60 tiny | secret_in)
in_force

chat() { # chat ENTRY SECRET RANK PROMPT STREAM sends a chat request through a VM
	call --header "Authorization: Bearer $2" --header "Hawthornspar-Rank: $3" \
		--data "{\"model\":\"small\",\"max_tokens\":40,\"stream\":$5,\"messages\":[{\"role\":\"user\",\"content\":\"$4\"}]}" \
		"http://127.0.0.1:$((7300 + $1))/v1/chat/completions"
}
words() { # joins the content of a stream's events, and prints the billed tokens
	sed -n 's/.*"content":"\([^"]*\)".*/\1/p; s/^: \(billed=.*\)/\n\1 tokens/p' | tr -d '\n' | sed 's/\.[-0-9a-f]*//g; s/billed/\nbilled/'
	echo
}
say "rank urgent, through entry1: a loft-height lookup"
chat 1 "$workshop" urgent "answer:8 loft height of badger knot 26" true | words
say "rank normal, through entry2: a consignment summary"
chat 2 "$cooperative" normal "answer:16 summarise consignment 118" true | words
say "rank bulk, through entry3: a catalogue tag"
chat 3 "$cooperative" bulk "answer:4 tag strainer 9" true | words
say "an order through entry3, and again through entry1 with the same idempotency key: it runs once"
for entry in 3 1; do
	call --header "Authorization: Bearer $cooperative" --header 'Idempotency-Key: crate-1' \
		--data '{"ref":"crate-1","item":"strainer"}' "http://127.0.0.1:$((7300 + entry))/v1/services/orders/orders"
done
echo "orders counted by the order desk: $(call http://127.0.0.1:7003/admin/counts)"
say "a true refusal (the request does not run): 60 prepaid tokens do not cover the reservation"
chat 1 "$tiny" bulk "answer:4 tag strainer 10" false
say "remaining budgets, after the charges are written"
until op query budgets where account = kandyan | grep -q kandyan; do sleep 0.1; done
sleep 2.5
op query budgets order by account
op query grants where spent '>' 0

say "graceful shutdown of all VMs"
for name in entry1 entry2 entry3; do kill -TERM "$(id_of $name)"; done
for name in entry1 entry2 entry3; do wait "$(id_of $name)" && echo "$name exited with status 0"; done
