#!/bin/sh
# Builds the stand-ins and the cases of the review into review/bin; needs only
# a C++ compiler. The program under review is built by the deploy file.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
flags="-std=c++17 -O2 -g -Wall -Wextra -Wno-missing-field-initializers -pthread"
for part in standin rollout; do
	g++ $flags -c "standin/$part.cc" -o "bin/$part.o"
done
for source in [1-5]/case.cc; do
	[ -f "$source" ] || continue
	g++ $flags "$source" bin/standin.o bin/rollout.o \
		-o "bin/case-${source%/case.cc}"
done
