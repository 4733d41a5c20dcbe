#!/bin/bash
# The words of the users' platform stay in platform/ (two of its header fields
# are also those of the product's own interface, and left out here), and every event that the
# gateway logs stands in docs/OPERATIONS.md.
set -u
cd "$(dirname "$0")/.." || exit 2
failed=0

names='X-(Attempt-Id|Response-Stamp|Token-Usage|Prefix-Hash|Not-Executed'
names+='|Expect-Instance|Expect-Version|Tenant|Kv-)'
names+='|rows-(tx|get|feed)|kv-(events|list)|/report"|/order"'
if git grep -nE "$names" -- 'src/*.c' 'src/*.h'
then
	echo "names of the platform outside platform/"
	failed=1
fi
for event in $(git grep -hoE '"event",[[:space:]]*"[a-z_]+"' -- src/gateway |
	sed -E 's/.*"([a-z_]+)"$/\1/' | sort -u)
do
	grep -q "\`$event\`" docs/OPERATIONS.md || {
		echo "event $event is not in docs/OPERATIONS.md"
		failed=1
	}
done
exit $failed
