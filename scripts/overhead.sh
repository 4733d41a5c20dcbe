#!/bin/bash
# What the entry adds to a call: the same load, sent to one stand-in engine
# directly and through one host's entry, in turns.
#
# Usage: scripts/overhead.sh [SECONDS] [RATE]
set -u
cd "$(dirname "$0")/.." || exit 2
build=${BALSAMPIN_BUILD:-build}
seconds=${1:-10}
rate=${2:-20}
. scripts/cluster.sh

cluster_init 1 1 "zone-a:region-1" \
	'{"models":[{"model":"m","version":"v1"}],"cache_blocks":4000,
	"prefill_tokens_per_s":100000000,"token_ms":1,"max_running":1000}'
cluster_start || exit 1
cluster_configure 8 >/dev/null || exit 1

# measure LABEL URL
measure() {
	"$build/balsampin" bench load --profile pisarik --label "$1" \
		--entry "$2" --standin "http://$cluster_standin:7000" \
		--seconds "$seconds" --rate "$rate" --seed 1 |
		grep '^{' | grep -oE '"(label|whole|first_token_p[0-9]+_ms|total_p99_ms)":[^,}]*' |
		paste -sd ' '
}

for turn in 1 2
do
	measure "direct-$turn" "http://$cluster_standin:9000"
	measure "entry-$turn" "$(cluster_entry_url 0)"
done
cluster_stop
