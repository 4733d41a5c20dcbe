#!/bin/bash
# Measures a whole system on loopback: stand-ins, 9 hosts with three processes
# each, and one run of `balsampin bench load`.
#
# Usage: scripts/bench.sh PROFILE [OPTION OF bench load...]
#	PROFILE is kitami (12 engines) or pisarik (18 engines), in 3 zones.
#	BALSAMPIN_POLICY in the environment names the routing policy.
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

engine_defaults='{"models":[{"model":"m","version":"v1"}],
	"cache_blocks":120,"prefill_tokens_per_s":100000,"token_ms":10,
	"event_delay_ms":100,"load_period_ms":200}'

cluster_init 9 "$engines" "$zones" "$engine_defaults"
cluster_start || exit 1
cluster_configure 8 "$objective" || exit 1
entries=()
for ((i = 0; i < cluster_hosts; i++))
do
	entries+=(--entry "$(cluster_entry_url "$i")")
done
"$build/balsampin" bench load --profile "$profile" --service dispatch \
	--label "${BALSAMPIN_POLICY:-default}" "${entries[@]}" \
	--standin "http://$cluster_standin:7000" "$@"
code=$?
cluster_stop || code=1
exit $code
