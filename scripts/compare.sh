#!/bin/bash
# Runs routing policies side by side: one run of bench.sh for each policy and
# seed, in turn, and one table with each seed and the mean.
#
# Usage: scripts/compare.sh PROFILE "POLICY..." "SEED..." [OPTION of bench...]
#	Rate, cache size and speed of the engines as for bench.sh. If
#	BALSAMPIN_KEEP names a folder, time lines and counters are kept there.
set -u
cd "$(dirname "$0")/.." || exit 2
[ $# -ge 3 ] || {
	sed -n 2,8p "$0"
	exit 2
}
profile=$1
read -r -a policies <<<"$2"
read -r -a seeds <<<"$3"
shift 3
lines=$(mktemp)
output=$(mktemp)
trap 'rm -f "$lines" "$output"' EXIT
code=0

run() {
	BALSAMPIN_POLICY=$1 \
		BALSAMPIN_KEEP=${BALSAMPIN_KEEP:+$BALSAMPIN_KEEP/$1-$2} \
		scripts/bench.sh "$profile" --seed "$2" "${@:3}" \
		>"$output" 2>&1 || {
		echo "$1, seed $2: failed"
		grep -v '^{' "$output" | tail -n 40
		code=1
	}
	grep '^{' "$output" | sed "s/}$/,\"load\":$(cut -d ' ' -f 1 \
		/proc/loadavg)}/" >>"$lines"
}

# One row for each line, then the mean over the seeds of each policy.
table() {
	awk -v columns="block_hit_rate ideal_block_hit_rate wasted_share \
first_token_p50_ms first_token_p99_ms sent whole refused broken load" '
	function field(line, name) {
		if (!match(line, "\"" name "\":[^,}]*"))
			return ""
		line = substr(line, RSTART, RLENGTH)
		sub(/^[^:]*:/, "", line)
		gsub(/"/, "", line)
		return line
	}
	function print_row(policy, seed, values,   i) {
		printf "| %s | %s |", policy, seed
		for (i = 1; i <= n; i++)
			printf " %.5g |", values[i]
		print ""
	}
	BEGIN {
		n = split(columns, name, " ")
		printf "| policy | seed |"
		for (i = 1; i <= n; i++)
			printf " %s |", name[i]
		printf "\n| --- | --- |"
		for (i = 1; i <= n; i++)
			printf " --- |"
		print ""
	}
	{
		label = field($0, "label")
		if (!(label in runs))
			order[++labels] = label
		runs[label]++
		for (i = 1; i <= n; i++) {
			row[i] = field($0, name[i])
			sum[label, i] += row[i]
		}
		print_row(label, field($0, "seed"), row)
	}
	END {
		for (l = 1; l <= labels; l++) {
			for (i = 1; i <= n; i++)
				row[i] = sum[order[l], i] / runs[order[l]]
			print_row(order[l], "mean", row)
		}
	}' "$lines"
}

for seed in "${seeds[@]}"
do
	for policy in "${policies[@]}"
	do
		run "$policy" "$seed" "$@"
	done
done
table
exit $code
