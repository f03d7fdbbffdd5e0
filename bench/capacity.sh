#!/usr/bin/env bash
# What an entry instance costs: starts a stand-in platform, instances of one data centre and stand-in
# engines on loopback, and measures processor time, memory, threads and bytes of each snipestalld,
# idle by peers and by servers, and under load. Prints tables and least-squares slopes.
#
#     bench/capacity.sh [peers] [servers] [load] [forwards]     all by default, under four minutes
#
# At most 80 processes; all are stopped by their ids at the end. Needs ss (iproute2) and python3.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$PWD/${BUILD_DIR:-build}/bin
for program in snipestalld snipestallctl snipestall-load standin-platform standin-engine; do
    [ -x "$bin/$program" ] || { echo "$bin/$program is missing: run scripts/build.sh"; exit 2; }
done
exec python3 bench/capacity.py "$bin" "$@"
