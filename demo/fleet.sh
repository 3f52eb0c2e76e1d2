# Functions that run a fleet of VMs on loopback, sourced by demo/run.sh and
# bench/*.sh. Every process started here is stopped by its process id on exit.
bin=$PWD/.bin
work=$(mktemp -d)
ids=()

# end_all stops the processes, the latest started first: VMs need the platform for
# a graceful shutdown.
end_all() {
	local i
	for ((i = ${#ids[@]} - 1; i >= 0; i--)); do
		kill "${ids[i]}" 2>/dev/null && wait "${ids[i]}" 2>/dev/null || true
	done
	rm -rf "$work"
}
trap end_all EXIT

start() { # start NAME PROGRAM ARGS... runs a program in the background, with NAME.log as its output
	local name=$1
	shift
	"$@" >"$work/$name.log" 2>&1 &
	ids+=($!)
	eval "id_$name=$!"
}
# id_of NAME prints the process id of a started program.
id_of() { eval "echo \$id_$1"; }
call() { "$bin/standin" call "$@"; }
# ready URL waits until URL responds with status 200. After a time-out it prints the
# ends of all logs and exits.
ready() { call --wait 20s "$1" >/dev/null || { tail -n 20 "$work"/*.log >&2; exit 1; }; }
op() { # op ARGS... runs an operator's command, with all VMs as its entries
	local entries=() i
	for i in $(seq "$routers"); do entries+=(--entry "127.0.0.1:$((7100 + i))"); done
	"$bin/hawthornspar" "${entries[@]}" "$@"
}
# secret_in prints the secret in an operator command's output, read from stdin.
secret_in() { sed -n 's/^secret=//p'; }

# fleet ROUTERS [linked] starts the platform and ROUTERS VMs named entry1 and up,
# and creates the first operator. "linked" puts link stand-ins between each VM and
# its peers, and between each VM and the platform.
# Ports: 7000 for the platform, 7001 to 7003 for endpoints. VM i listens on 7100+i
# for operators, 7200+i for peers and 7300+i for callers. The link from its peers
# listens on 7400+i and the link to the platform on 7500+i, their admin handlers on
# 7600+i and 7700+i.
fleet() {
	routers=$1
	local i list="" domains=(north south) peer platform
	start platform "$bin/standin" platform --listen 127.0.0.1:7000
	ready http://127.0.0.1:7000/vms
	for i in $(seq "$routers"); do
		peer=127.0.0.1:$((7200 + i))
		[ "${2:-}" = linked ] && peer=127.0.0.1:$((7400 + i))
		list+="${list:+,}{\"name\":\"entry$i\",\"address\":\"$peer\",\"domain\":\"${domains[i % 2]}\"}"
	done
	call --data "{\"vms\":[$list]}" http://127.0.0.1:7000/admin/vms >/dev/null
	op keys authority --directory "$work"
	local bootstrap
	bootstrap=$(op keys secret)
	for i in $(seq "$routers"); do
		peer=127.0.0.1:$((7200 + i)) platform=127.0.0.1:7000
		if [ "${2:-}" = linked ]; then
			start "peers$i" "$bin/standin" link --listen "127.0.0.1:$((7400 + i))" --target "$peer" --admin "127.0.0.1:$((7600 + i))"
			start "table$i" "$bin/standin" link --listen "127.0.0.1:$((7500 + i))" --target "$platform" --admin "127.0.0.1:$((7700 + i))"
			peer=127.0.0.1:$((7400 + i)) platform=127.0.0.1:$((7500 + i))
		fi
		op keys vm --directory "$work" "entry$i"
		start "entry$i" env HAWTHORNSPAR_PLATFORM="$platform" HAWTHORNSPAR_AUTHORITY="$work/authority.pem" \
			"$bin/hawthornspard" --name "entry$i" --failure-domain "${domains[i % 2]}" \
			--listen "127.0.0.1:$((7300 + i))" --operator-listen "127.0.0.1:$((7100 + i))" \
			--peer-listen "127.0.0.1:$((7200 + i))" --peer-address "$peer" \
			--certificate "$work/entry$i.pem" --key "$work/entry$i.key" --bootstrap-hash "${bootstrap##*hash=}"
	done
	for i in $(seq "$routers"); do ready "http://127.0.0.1:$((7100 + i))/readyz"; done
	export HAWTHORNSPAR_SECRET
	HAWTHORNSPAR_SECRET=$(secret_in <<<"$bootstrap")
	HAWTHORNSPAR_SECRET=$(op operator create anna | secret_in)
}

ranks_and_services() {
	op rank put --order 0 --target 1800ms --worth 20 urgent
	op rank put --order 1 --target 30s --worth 5 --floor 15 normal
	op rank put --order 2 --target 60s --worth 1 --floor 5 bulk
	op service put --max-tokens 4000 small
	op service put --kind app --price 10 orders
}

in_force() { # waits until all VMs have the same configuration version
	until [ "$(op query vms | awk 'NR > 1 { print $6 }' | sort -u | wc -l)" = 1 ]; do sleep 0.1; done
}
