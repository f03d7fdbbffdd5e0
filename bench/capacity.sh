#!/usr/bin/env bash
# Measures the resource use of an entry instance. Starts a stand-in platform, the instances of one
# data centre and stand-in engines on loopback, and measures the processor time, memory, threads and
# bytes of each snipestalld: idle by number of peers, idle by number of servers, under load, and
# under load with forwarded requests. Prints tables and the slopes of least-squares fits.
#
#     bench/capacity.sh [peers] [servers] [load] [forwards]   all by default, in under four minutes
#
# Runs at most 80 processes and stops each by its id at the end. Needs ss (iproute2) and python3.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$PWD/${BUILD_DIR:-build}/bin
for program in snipestalld snipestallctl snipestall-load standin-platform standin-engine; do
    [ -x "$bin/$program" ] || { echo "$bin/$program is missing: run scripts/build.sh"; exit 2; }
done
exec python3 bench/capacity.py "$bin" "$@"
