# Functions to run a fleet on loopback; sourced by demo/run.sh and bench/*.sh.
# Every process that is started here is ended by its id.
bin=$PWD/.bin
work=$(mktemp -d)
ids=()

# end_all ends the newest first: routers need the platform to stop gracefully.
end_all() {
	local i
	for ((i = ${#ids[@]} - 1; i >= 0; i--)); do
		kill "${ids[i]}" 2>/dev/null && wait "${ids[i]}" 2>/dev/null || true
	done
	rm -rf "$work"
}
trap end_all EXIT

start() { # start NAME PROGRAM ARGS...
	local name=$1
	shift
	"$@" >"$work/$name.log" 2>&1 &
	ids+=($!)
	eval "id_$name=$!"
}
id_of() { eval "echo \$id_$1"; }
call() { "$bin/standin" call "$@"; }
ready() { call --wait 20s "$1" >/dev/null || { tail -n 20 "$work"/*.log >&2; exit 1; }; }
op() {
	local entries=() i
	for i in $(seq "$routers"); do entries+=(--entry "127.0.0.1:$((7100 + i))"); done
	"$bin/hawthornspar" "${entries[@]}" "$@"
}
secret_in() { sed -n 's/^secret=//p'; }

# Ports: 7000 platform, 7001 to 7003 endpoints, 7100+i operators of entry i,
# 7200+i its peers, 7300+i its callers, 7400+i and 7500+i its links.
fleet() { # fleet ROUTERS [linked]: platform, routers and the first operator
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

in_force() { # wait until all routers have the same configuration
	until [ "$(op query vms | awk 'NR > 1 { print $6 }' | sort -u | wc -l)" = 1 ]; do sleep 0.1; done
}
