#!/bin/bash
# Everything that CI checks: format, lint, build with warnings as errors, unit
# and session tests, the same tests under ASan and UBSan, and the share of
# tests in the code. KNOWN-RED.txt is printed, and only the tests that it
# names on lines "test: NAME" may fail.
set -u
cd "$(dirname "$0")/.." || exit 2
failed=0
jobs=$(nproc)

step() {
	printf '\n== %s\n' "$1"
	shift
	if ! "$@"
	then
		echo "FAILED: $*"
		failed=1
	fi
}

sources() {
	git ls-files -co --exclude-standard '*.c' '*.h' '*.cc' |
		grep -v '^src/rpc/gen/'
}

check_format() {
	sources | xargs clang-format --dry-run --Werror
}

check_tidy() {
	git ls-files -co --exclude-standard 'src/*.c' 'platform/*.c' \
		'tests/standin/*.c' |
		grep -v '^src/rpc/gen/' |
		xargs -P "$jobs" -n 4 clang-tidy -p build --quiet 2>/dev/null
}

build() {
	cmake -B "$1" -G Ninja -S . "${@:2}" >/dev/null &&
		ninja -C "$1" | tail -n 30
	[ "${PIPESTATUS[0]}" -eq 0 ]
}

known_red() {
	sed -n 's/^test: *//p' KNOWN-RED.txt | paste -sd '|'
}

run_tests() {
	local red
	red=$(known_red)
	ctest --test-dir "$1" --output-on-failure -j "$((jobs / 2))" \
		${red:+-E "^($red)$"} "${@:2}"
}

print_known_red() {
	grep -v '^#' KNOWN-RED.txt || echo "none"
	local red
	red=$(known_red)
	[ -z "$red" ] && return 0
	ctest --test-dir build -R "^($red)$" | grep -E 'Test +#' || true
}

step "format" check_format
step "names and events" scripts/check-names.sh
step "build" build build
step "lint" check_tidy
step "tests" run_tests build
if [ -z "${BALSAMPIN_QUICK:-}" ]
then
	step "build with ASan and UBSan" build build-asan \
		-DBALSAMPIN_SANITIZE=ON -DCMAKE_BUILD_TYPE=Debug
	step "tests with ASan and UBSan" run_tests build-asan
	step "build of the fuzz targets" build build-fuzz \
		-DCMAKE_C_COMPILER=clang -DCMAKE_CXX_COMPILER=clang++ \
		-DBALSAMPIN_FUZZ=ON -DBALSAMPIN_TESTS=OFF
	step "fuzz targets, bounded" run_tests build-fuzz
fi
step "known red" print_known_red
step "share of tests" scripts/share.sh
exit "$failed"
