#!/bin/bash
# A system on loopback: three hosts in two availability zones with stand-ins
# for engines, a plain service and the platform. Sends streamed and plain
# requests that share a prefix and one dispatch twice, shows the answers, the
# hit rate and the time line, and stops everything gracefully. Exits non-zero
# if anything was incomplete.
set -u
cd "$(dirname "$0")/.." || exit 2
build=${BALSAMPIN_BUILD:-build}
. scripts/cluster.sh
failed=0

fail() {
	echo "FAILED: $*"
	failed=1
}

prepare() {
	command -v cmake >/dev/null && pkg-config --exists \
		libcurl libmicrohttpd json-c libtirpc gsl ||
		scripts/install-deps.sh || exit 1
	cmake -B "$build" -G Ninja -S . >/dev/null && ninja -C "$build" |
		tail -n 1
	[ "${PIPESTATUS[0]}" -eq 0 ] || exit 1
}

# A house rulebook of about 6,000 tokens, the shared prefix.
rulebook=$(for ((i = 0; i < 600; i++)); do
	printf 'Rule %04d: a letter names its sender. ' "$i"
done)

# ask HOST TEAM STREAM QUESTION
ask() {
	local body
	body=$(printf '{"model":"m","max_tokens":8,"stream":%s,%s"prompt":"%s"}' \
		"$3" '"stream_options":{"include_usage":true},' "$rulebook$4")
	curl -sS --max-time 20 -H "Authorization: Bearer key-of-team-$2" \
		-H "Content-Type: application/json" -d "$body" \
		"$(cluster_entry_url "$1")/v1/completions"
}

tokens_of() {
	grep -o '"text": *"[^"]*"' | cut -d '"' -f 4 | tr -d '\n'
}

cached_of() {
	grep -o '"cached_tokens": *[0-9]*' | tail -n 1 | tr -dc '0-9'
}

show_requests() {
	local i stream answer
	echo "== requests with a shared prefix (host, streamed, cached, answer)"
	for ((i = 0; i < 9; i++))
	do
		stream=$([ $((i % 3)) -eq 2 ] && echo false || echo true)
		answer=$(ask $((i % 3)) $((i % 2)) "$stream" "Letter $i.")
		printf 'host%d %-5s %5s %s\n' $((i % 3)) "$stream" \
			"$(cached_of <<<"$answer")" "$(tokens_of <<<"$answer")"
		[ "$(tokens_of <<<"$answer" | wc -c)" -eq 32 ] ||
			fail "request $i: $answer"
		[ "$stream" = false ] || grep -q '^data: \[DONE\]' \
			<<<"$answer" || fail "request $i has no end"
	done
}

dispatch() {
	curl -sS --max-time 20 -H "Authorization: Bearer key-of-team-0" \
		-H "Idempotency-Key: letter-1" -d '{"to":"member 17"}' \
		"$(cluster_entry_url "$1")/v1/services/dispatch/send"
}

show_dispatch() {
	local first second
	echo "== one dispatch, sent twice through two hosts"
	first=$(dispatch 0)
	second=$(dispatch 1)
	printf '%s\n%s\n' "$first" "$second"
	[ "$first" = "$second" ] || fail "the two answers differ"
	records | grep -q '"runs_by_key":{"letter-1":1}' ||
		fail "the dispatch did not run exactly once"
}

records() {
	curl -sS "http://$cluster_standin:7000/records?summary=1"
}

sum_of() {
	records | grep -o "\"$1\":[0-9]*" | awk -F : '{ s += $2 } END { print s + 0 }'
}

show_hit_rate() {
	local cached computed
	cached=$(sum_of cached_blocks)
	computed=$(sum_of computed_blocks)
	echo "== prompt blocks: $cached cached, $computed computed, hit rate" \
		"$((100 * cached / (cached + computed)))%"
}

prepare
cluster_init 3 4 "zone-a:region-1 zone-b:region-1" \
	'{"models":[{"model":"m","version":"v1"}],"cache_blocks":100}'
cluster_start || exit 1
cluster_configure 2 || exit 1
show_requests
show_dispatch
show_hit_rate
echo "== time line"
"$build/balsampin" timeline --settings "$cluster_dir/host0.json" \
	>"$cluster_dir/timeline" || fail "the time line is incomplete"
grep -v member_up "$cluster_dir/timeline"
cluster_stop || fail "a process did not end gracefully"
[ "$failed" -eq 0 ] && echo "== complete"
exit $failed
