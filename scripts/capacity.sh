#!/bin/bash
# Measures what docs/CAPACITY.md needs: processor time, memory and RPC bytes of
# each role, by the number of hosts, requests, streams and teams.
#
# Usage: scripts/capacity.sh idle HOSTS SECONDS
#	 scripts/capacity.sh load RATE SECONDS
#	 scripts/capacity.sh streams COUNT
#	 scripts/capacity.sh teams COUNT
#
#	All hosts are in one zone. Processor time is the kernel's account of
#	the processes started here, RPC bytes are payload sent and received.
#	BALSAMPIN_PLACES ("ZONE:REGION ...") spreads them over zones.
set -u
cd "$(dirname "$0")/.." || exit 2
build=${BALSAMPIN_BUILD:-build}
. scripts/cluster.sh

max_hosts=48
declare -A port=([entry]=8080 [index]=8081 [control]=8082)
ticks_per_s=$(getconf CLK_TCK)
page_kb=$(($(getconf PAGESIZE) / 1024))

engines() {
	printf '{"models":[{"model":"m","version":"v1"}],"cache_blocks":2000,
		"prefill_tokens_per_s":1000000,"token_ms":%d,
		"event_delay_ms":100,"load_period_ms":200}' "$1"
}

# start HOSTS ENGINES TOKEN_MS
start() {
	[ "$1" -le "$max_hosts" ] || {
		echo "at most $max_hosts hosts"
		exit 2
	}
	cluster_init "$1" "$2" "${BALSAMPIN_PLACES:-z:r}" "$(engines "$3")"
	cluster_start || exit 1
}

metrics() {
	curl -s "http://$(cluster_address "$1"):${port[$2]}/metrics"
}

# What one process has used so far: CPU ms, resident KB, and its counters.
snapshot_process() {
	local pid=${cluster_pids[host$1-$2]} line stat=() statm=()
	line=$(<"/proc/$pid/stat")
	read -r -a stat <<<"${line##*) }"
	read -r -a statm <"/proc/$pid/statm"
	echo "cpu_ms $(((stat[11] + stat[12]) * 1000 / ticks_per_s))"
	echo "rss_kb $((statm[1] * page_kb))"
	metrics "$1" "$2" | sed -n 's/^balsampin_//p'
}

# snapshot FILE: a line "ROLE HOST NAME VALUE" for each figure.
snapshot() {
	local host role
	date +'clock - ms %s%3N' >"$1"
	for ((host = 0; host < cluster_hosts; host++))
	do
		for role in entry index control
		do
			snapshot_process "$host" "$role" |
				sed "s/^/$role $host /"
		done
	done >>"$1"
	curl -s "http://$cluster_standin:7000/records?summary=1" |
		grep -o '"\(reads\|writes\)": *[0-9]*' |
		sed 's/"\([a-z]*\)": */store - \1 /' >>"$1"
}

# report BEFORE AFTER DIVISOR UNIT: differences of a process of each role, the
# mean over hosts, divided by DIVISOR; 0 stands for the seconds between.
report() {
	echo "load average $(cut -d ' ' -f 1 /proc/loadavg)"
	awk -v divisor="$3" -v unit="$4" -v hosts="$cluster_hosts" '
	function show(name, value) {
		printf "  %-34s %12.3f\n", name, value
	}
	FNR == NR { before[$1, $2, $3] = $4; next }
	$1 == "clock" {
		seconds = ($4 - before[$1, $2, $3]) / 1000
		if (divisor == 0)
			divisor = seconds
		next
	}
	$1 == "store" {
		show("store " $3 "/s", ($4 - before[$1, $2, $3]) / seconds)
		next
	}
	{ is_role[$1] = 1 }
	$3 == "rss_kb" {
		rss[$1] += $4 / hosts
		if ($4 > most[$1])
			most[$1] = $4
	}
	{ sum[$1, $3] += $4 - before[$1, $2, $3] }
	END {
		names = "cpu_ms rpc_udp_sent_bytes_total " \
			"rpc_udp_received_bytes_total " \
			"rpc_tcp_sent_bytes_total " \
			"rpc_tcp_received_bytes_total " \
			"gossip_sent_total rpc_requests_served_total " \
			"store_reads_total store_writes_total"
		count = split(names, name, " ")
		for (role in is_role) {
			show(role " rss MB mean", rss[role] / 1024)
			show(role " rss MB most", most[role] / 1024)
			for (i = 1; i <= count; i++) {
				value = sum[role, name[i]] / hosts / divisor
				if (value)
					show(role " " name[i] unit, value)
			}
		}
		show("seconds", seconds)
	}' "$1" "$2" | sort
}

# How many processes are in which state, as the control process sees it.
member_states() {
	echo "member states seen by host$1:"
	BALSAMPIN_OPERATOR_KEY=operator "$build/balsampin" ctl \
		--settings "$cluster_dir/host$1.json" versions |
		grep -o 'state=[a-z]*' | sort | uniq -c
}

# measure SECONDS
measure() {
	snapshot "$cluster_dir/before"
	sleep "$1"
	snapshot "$cluster_dir/after"
	report "$cluster_dir/before" "$cluster_dir/after" 0 /s
}

idle() {
	start "$1" 4 10
	cluster_configure 8 >"$cluster_dir/configure.log" 2>&1 || {
		echo "configure failed:"
		sed 's/^.* state=/state=/' "$cluster_dir/configure.log" |
			sort | uniq -c | head -n 20
	}
	sleep 8
	measure "$2"
	member_states 0
	member_states $((cluster_hosts - 1))
}

load() {
	local entries=() i
	start 3 6 5
	cluster_configure 8 >/dev/null || exit 1
	for ((i = 0; i < cluster_hosts; i++))
	do
		entries+=(--entry "$(cluster_entry_url "$i")")
	done
	snapshot "$cluster_dir/before"
	"$build/balsampin" bench load --profile pisarik --service dispatch \
		"${entries[@]}" --standin "http://$cluster_standin:7000" \
		--rate "$1" --seconds "$2" >"$cluster_dir/bench.out"
	code=$?
	snapshot "$cluster_dir/after"
	grep -v '^{' "$cluster_dir/bench.out"
	report "$cluster_dir/before" "$cluster_dir/after" \
		"$(awk '$1 == "sent" { print $2 / 3 }' \
			"$cluster_dir/bench.out")" "/request"
}

# open_streams FROM TO: one curl, which opens 300 at most.
open_streams() {
	local body='{"model":"m","prompt":"stream","stream":true,
		"max_tokens":1000}' i
	for ((i = $1; i < $2; i++))
	do
		printf 'url = "%s/v1/completions"\noutput = "%s/stream%d"\n' \
			"$(cluster_entry_url 0)" "$cluster_dir" "$i"
	done >"$cluster_dir/streams$1.curl"
	cluster_run "streams$1" curl -sN --parallel --parallel-immediate \
		--parallel-max 300 -H "Authorization: Bearer key-of-team-0" \
		-H "Content-Type: application/json" -d "$body" \
		-K "$cluster_dir/streams$1.curl"
}

streams() {
	local i name
	start 1 4 2000
	cluster_configure 1 >/dev/null || exit 1
	for ((i = 0; i < $1; i += 250))
	do
		open_streams "$i" $((i + 250))
	done
	sleep 8
	metrics 0 entry | grep '^balsampin_entry_open_requests'
	measure 6
	for ((i = 0; i < $1; i += 250))
	do
		name=streams$i
		kill -TERM "${cluster_pids[$name]}"
		wait "${cluster_pids[$name]}"
		unset "cluster_pids[$name]"
	done 2>/dev/null
}

# apply FROM TO OPTION...: some teams; unlike cluster_configure's, without a
# process for each key.
apply() {
	local i comma=
	for ((i = $1; i < $2; i++))
	do
		printf '%s"bulk-%d":{"key_sha256":"%064x",' "$comma" "$i" "$i"
		printf '"max_running":1000,"max_waiting":1000}'
		comma=,
	done >"$cluster_dir/rows"
	printf '{"team":{%s}}' "$(<"$cluster_dir/rows")" \
		>"$cluster_dir/teams.json"
	BALSAMPIN_OPERATOR_KEY=operator "$build/balsampin" ctl \
		--settings "$cluster_dir/host0.json" "${@:3}" \
		apply "$cluster_dir/teams.json" >"$cluster_dir/apply.log" 2>&1 || {
		code=1
		cat "$cluster_dir/apply.log"
	}
}

now_ms() {
	date +%s%3N
}

# A change has 125 objects at most; the last one is awaited everywhere.
teams() {
	local began_ms last_ms i
	start 9 4 10
	cluster_configure 8 >/dev/null || exit 1
	sleep 3
	snapshot "$cluster_dir/before"
	began_ms=$(now_ms)
	for ((i = 0; i < $1 - 100; i += 100))
	do
		apply "$i" $((i + 100))
	done
	last_ms=$(now_ms)
	apply "$i" "$1" --wait=60
	echo "last change in force everywhere after $(($(now_ms) - last_ms)) ms"
	echo "all after $(($(now_ms) - began_ms)) ms"
	snapshot "$cluster_dir/after"
	report "$cluster_dir/before" "$cluster_dir/after" 1 " in all"
	echo "then at rest:"
	measure 8
}

code=0
case ${1:-} in
idle | load) "$1" "$2" "$3" ;;
streams | teams) "$1" "$2" ;;
*)
	echo "usage: scripts/capacity.sh idle|load|streams|teams ..."
	exit 2
	;;
esac
cluster_stop || code=1
exit $code
