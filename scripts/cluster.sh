# Hosts and stand-ins on loopback, for demo.sh and bench.sh, which source this.
#
# Each host has a loopback address of its own, derived from the script's
# process id, and the same ports. Callers set `build`, then call
#	cluster_init HOSTS ENGINES "ZONE:REGION ..." ENGINE_DEFAULTS_JSON
#	cluster_start
#	cluster_configure TEAMS
#	cluster_stop		SIGTERM to all; fails if one did not end well
# shellcheck shell=bash
: "${build:?}"

cluster_init() {
	cluster_hosts=$1
	cluster_engines=$2
	read -r -a cluster_zones <<<"$3"
	cluster_defaults=$4
	cluster_dir=$(mktemp -d)
	# 64 addresses a run: 63 hosts at most, and the stand-ins.
	cluster_net=127.$((64 + ($$ >> 10) % 64)).$((($$ >> 2) & 255))
	cluster_base=$((($$ & 3) << 6))
	cluster_standin=$cluster_net.$((cluster_base + 63))
	declare -gA cluster_pids=()
	trap cluster_kill EXIT
}

cluster_address() {
	echo "$cluster_net.$((cluster_base + $1))"
}

cluster_entry_url() {
	echo "http://$(cluster_address "$1"):8080"
}

# Zone and region of the Nth host or engine, as JSON fields.
cluster_place() {
	local place=${cluster_zones[$(($1 % ${#cluster_zones[@]}))]}
	printf '"zone":"%s","region":"%s"' "${place%%:*}" "${place##*:}"
}

# joined COUNT FUNCTION [SKIP]: what FUNCTION prints for 0..COUNT-1, in commas.
joined() {
	local i comma=
	for ((i = 0; i < $1; i++))
	do
		[ "$i" = "${3:-}" ] && continue
		printf '%s' "$comma"
		"$2" "$i"
		comma=,
	done
}

engine_json() {
	printf '{"name":"engine%d","address":"%s","port":%d,%s}' "$1" \
		"$cluster_standin" $((9000 + $1)) "$(cluster_place "$1")"
}

host_entry_json() {
	printf '{"targets":["%s:8080"],"labels":{"name":"host%d",' \
		"$(cluster_address "$1")" "$1"
	printf '"kind":"entry","state":"live","entry_http":"8080",'
	printf '"entry_rpc":"7001","index_rpc":"7002","control_rpc":"7003",'
	printf '%s}}' "$(cluster_place "$1")"
}

standin_json() {
	printf '{"control":{"address":"%s","port":7000},' "$cluster_standin"
	printf '"engine_defaults":%s,' "$cluster_defaults"
	printf '"engines":[%s],' "$(joined "$cluster_engines" engine_json)"
	printf '"services":[{"name":"dispatch","address":"%s","port":9100,%s}],' \
		"$cluster_standin" "$(cluster_place 0)"
	printf '"platform":{"address":"%s","port":2379,"hosts":[%s]}}\n' \
		"$cluster_standin" "$(joined "$cluster_hosts" host_entry_json)"
}

peer_json() {
	local role
	printf '{"name":"host%d","address":"%s",%s' "$1" \
		"$(cluster_address "$1")" "$(cluster_place "$1")"
	printf ',"entry_http_port":8080,"entry_rpc_port":7001'
	printf ',"index_http_port":8081,"index_rpc_port":7002'
	printf ',"control_http_port":8082,"control_rpc_port":7003}'
}

settings_json() {
	local platform=http://$cluster_standin:2379
	printf '{"host":{"name":"host%d","address":"%s",%s},' "$1" \
		"$(cluster_address "$1")" "$(cluster_place "$1")"
	printf '"entry":{"http_port":8080,"rpc_port":7001},'
	printf '"index":{"http_port":8081,"rpc_port":7002},'
	printf '"control":{"http_port":8082,"rpc_port":7003},'
	printf '"peers":[%s],' "$(joined "$cluster_hosts" peer_json "$1")"
	printf '"routing":{"policy":"%s"},' "${BALSAMPIN_POLICY:-cost}"
	printf '"platform":{"kind":"http","tables_url":"%s",' "$platform"
	printf '"objects_url":"%s/objects","hosts_url":"%s/hosts"},' \
		"$platform" "$platform"
	printf '"rpc_key":"%s",' "$(sha256 'key of the processes')"
	printf '"operator_key_sha256":"%s"}\n' "$(sha256 operator)"
}

sha256() {
	printf '%s' "$1" | sha256sum | cut -d ' ' -f 1
}

cluster_run() {
	local name=$1
	shift
	"$@" >"$cluster_dir/$name.log" 2>&1 &
	cluster_pids[$name]=$!
}

# wait_for SECONDS COMMAND: until the command succeeds.
wait_for() {
	local deadline=$((SECONDS + $1))
	shift
	until "$@"
	do
		[ "$SECONDS" -ge "$deadline" ] && return 1
		sleep 0.05
	done
}

is_healthy() {
	curl -sf "$(cluster_entry_url "$1")/healthz" >/dev/null
}

cluster_start() {
	local i role
	standin_json >"$cluster_dir/standin.json"
	cluster_run standin "$build/tests/balsampin-standin" \
		"$cluster_dir/standin.json"
	wait_for 10 grep -q ready "$cluster_dir/standin.log" || return 1
	for ((i = 0; i < cluster_hosts; i++))
	do
		settings_json "$i" >"$cluster_dir/host$i.json"
		for role in control index entry
		do
			cluster_run "host$i-$role" "$build/balsampin" "$role" \
				--settings "$cluster_dir/host$i.json"
		done
	done
	for ((i = 0; i < cluster_hosts; i++))
	do
		wait_for 20 is_healthy "$i" || {
			echo "host$i does not answer:"
			tail -n 5 "$cluster_dir/host$i"-*.log
			return 1
		}
	done
}

team_json() {
	printf '"team-%d":{"key_sha256":"%s","max_running":1000,' "$1" \
		"$(sha256 "key-of-team-$1")"
	printf '"max_waiting":1000}'
}

# cluster_configure TEAMS [OBJECTIVE]: teams, the model m and the service, in
# force everywhere.
cluster_configure() {
	{
		printf '{"team":{%s},' "$(joined "$1" team_json)"
		printf '"model":{"m":{"version":"v1"}},'
		printf '"route":{"m":{"model":"m","objective":"%s"}},' \
			"${2:-first_token}"
		printf '"service":{"dispatch":{}}}\n'
	} >"$cluster_dir/config.json"
	BALSAMPIN_OPERATOR_KEY=operator "$build/balsampin" ctl \
		--settings "$cluster_dir/host0.json" --wait=20 \
		apply "$cluster_dir/config.json"
}

# End one process by SIGTERM; fails if its exit code is not 0.
cluster_end() {
	local pid=${cluster_pids[$1]}
	kill -TERM "$pid"
	cluster_wait "$1"
}

cluster_wait() {
	local pid=${cluster_pids[$1]}
	unset "cluster_pids[$1]"
	wait "$pid" || {
		echo "$1 ended with $?"
		tail -n 5 "$cluster_dir/$1.log"
		return 1
	}
}

cluster_stop() {
	local name code=0
	for name in "${!cluster_pids[@]}"
	do
		[ "$name" = standin ] || kill -TERM "${cluster_pids[$name]}"
	done
	for name in "${!cluster_pids[@]}"
	do
		[ "$name" = standin ] || cluster_wait "$name" || code=1
	done
	cluster_end standin || code=1
	return $code
}

# What is left when the script ends early.
cluster_kill() {
	local name
	for name in "${!cluster_pids[@]}"
	do
		kill -KILL "${cluster_pids[$name]}" 2>/dev/null
	done
	rm -rf "$cluster_dir"
}
