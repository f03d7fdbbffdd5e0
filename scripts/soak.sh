#!/usr/bin/env bash
# Runs the soak test with the seeds FIRST to LAST, PARALLEL at a time, and prints the result of each.
#     scripts/soak.sh FIRST LAST [SECONDS [PARALLEL]]
# Logs go to /tmp/snipestall-soak. The exit code is 1 if any seed failed, otherwise 0.
set -uo pipefail
cd "$(dirname "$0")/.."
first=$1 last=$2 seconds=${3:-30} parallel=${4:-4}
program=${BUILD_DIR:-build}/bin/snipestall-soak
logs=/tmp/snipestall-soak
mkdir -p "$logs"
run_seed() {
    "$program" --seed "$1" --seconds "$seconds" >"$logs/$1.log" 2>&1
    local code=$?
    grep -h '^BROKEN\|^seed\|^files' "$logs/$1.log" || echo "seed $1: exit code $code, see $logs/$1.log"
    return $code
}
failed=0
for ((seed = first; seed <= last; seed += parallel)); do
    jobs=()
    for ((batch_seed = seed; batch_seed < seed + parallel && batch_seed <= last; batch_seed++)); do
        run_seed "$batch_seed" &
        jobs+=($!)
    done
    for job in "${jobs[@]}"; do
        wait "$job" || failed=1
    done
done
exit $failed
