#!/bin/sh
# Prints how much of the code is product, routing and state, and tests with
# their stand-ins. Generated code is left out.
cd "$(dirname "$0")/.." || exit 2
count() {
	git ls-files -co --exclude-standard "$@" |
		grep -v '^src/rpc/gen/' | grep -E '\.(c|h|cc)$' |
		xargs -r cat | wc -l
}
product=$(count src)
tests=$(count tests)
echo "product $product lines, tests and stand-ins $tests lines:" \
	"$((100 * tests / (product + tests)))% tests"
