#!/bin/sh
# Makes src/rpc/gen from the schema; the output is committed.
set -eu
cd "$(dirname "$0")/../src/rpc"
mkdir -p gen
rm -f gen/balsampin.h gen/balsampin_xdr.c
rpcgen -C -M -h -o gen/balsampin.h balsampin.x
rpcgen -C -M -c -o gen/balsampin_xdr.c balsampin.x
sed -i 's|#include "balsampin.h"|#include "rpc/gen/balsampin.h"|' \
	gen/balsampin_xdr.c
