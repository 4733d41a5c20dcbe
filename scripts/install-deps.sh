#!/bin/sh
# Installs the declared Debian packages, if one of them is missing.
set -eu
packages="build-essential cmake ninja-build pkg-config clang clang-format
	clang-tidy libclang-rt-14-dev libev-dev libtirpc-dev rpcsvc-proto
	libmicrohttpd-dev libcurl4-openssl-dev libjson-c-dev libglib2.0-dev
	libxxhash-dev libsodium-dev libgsl-dev libgtest-dev libhttp-parser-dev curl"
missing=
for package in $packages
do
	dpkg -s "$package" >/dev/null 2>&1 || missing="$missing $package"
done
[ -z "$missing" ] && exit 0
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
# shellcheck disable=SC2086 # a list of words
apt-get install -y -qq $missing >/dev/null
