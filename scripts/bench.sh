#!/bin/bash
# Measures a whole system on loopback: stand-ins, 9 hosts with three processes
# each, and one run of `balsampin bench load`.
#
# Usage: scripts/bench.sh PROFILE [OPTION OF bench load...]
#	PROFILE is kitami (12 engines) or pisarik (18 engines), in 3 zones.
#	BALSAMPIN_POLICY in the environment names the routing policy,
#	BALSAMPIN_CACHE_BLOCKS and BALSAMPIN_PREFILL the size of an engine's
#	cache (120 blocks) and its speed (100000 tokens a second).
#	BALSAMPIN_KILL=S:NAME kills a process, such as host4-index, S seconds
#	after the start of the load.
#	BALSAMPIN_KEEP names a folder for the time line and the counters.
set -u
cd "$(dirname "$0")/.." || exit 2
build=${BALSAMPIN_BUILD:-build}
profile=${1:-kitami}
shift
. scripts/cluster.sh

case $profile in
kitami)
	engines=12
	objective=reuse
	zones="ishikari-1:ishikari ishikari-2:ishikari tokachi-1:tokachi"
	;;
pisarik)
	engines=18
	objective=first_token
	zones="west-1:sk-west west-2:sk-west east-1:sk-east"
	;;
*)
	echo "no profile '$profile'"
	exit 2
	;;
esac

engine_defaults=$(printf '{"models":[{"model":"m","version":"v1"}],
	"cache_blocks":%d,"prefill_tokens_per_s":%d,"token_ms":10,
	"event_delay_ms":100,"load_period_ms":200}' \
	"${BALSAMPIN_CACHE_BLOCKS:-120}" "${BALSAMPIN_PREFILL:-100000}")

# keep FOLDER: the time line and the entries' counters.
keep() {
	local i
	mkdir -p "$1"
	"$build/balsampin" timeline --settings "$cluster_dir/host0.json" \
		>"$1/timeline" 2>&1
	for ((i = 0; i < cluster_hosts; i++))
	do
		curl -s "$(cluster_entry_url "$i")/metrics" >"$1/entry$i"
	done
}

cluster_init 9 "$engines" "$zones" "$engine_defaults"
cluster_start || exit 1
# On a busy machine a process may be suspect when the order comes.
configure() {
	cluster_configure 8 "$objective" >"$cluster_dir/configure.log" 2>&1
}
wait_for 20 configure || {
	cat "$cluster_dir/configure.log"
	exit 1
}
entries=()
for ((i = 0; i < cluster_hosts; i++))
do
	entries+=(--entry "$(cluster_entry_url "$i")")
done
if [ -n "${BALSAMPIN_KILL:-}" ]
then
	victim=${BALSAMPIN_KILL#*:}
	killed=${cluster_pids[$victim]}
	unset "cluster_pids[$victim]"
	(
		sleep "${BALSAMPIN_KILL%%:*}"
		kill -KILL "$killed"
	) &
fi
"$build/balsampin" bench load --profile "$profile" --service dispatch \
	--label "${BALSAMPIN_POLICY:-default}" "${entries[@]}" \
	--standin "http://$cluster_standin:7000" "$@"
code=$?
[ -n "${BALSAMPIN_KEEP:-}" ] && keep "$BALSAMPIN_KEEP"
cluster_stop || code=1
exit $code
