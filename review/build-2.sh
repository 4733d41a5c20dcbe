#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/review-2.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in 6 7 8 9 10
do
	[ -f "review/$case/case.cc" ] || continue
	"${CXX:-g++}" -std=c++17 -Wall -Wextra -O1 -g -pthread \
		"review/$case/case.cc" review/common-2/stand.cc \
		-o "target/review-2/$case"
done
