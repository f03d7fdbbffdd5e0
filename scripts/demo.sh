#!/usr/bin/env bash
# Runs a small deployment on this machine: installs, builds, starts a stand-in platform, two data
# centres with two entry instances each, three engines and one ledger service on loopback; applies the
# settings, sends requests to the entry instances, changes a setting, and stops everything it started.
set -euo pipefail
cd "$(dirname "$0")/.."
root=$PWD
scripts/install.sh
scripts/build.sh >/dev/null
bin=$root/${BUILD_DIR:-build}/bin
work=$(mktemp -d)
pids=()
stop_all() {
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
    [ -n "${DEMO_KEEP:-}" ] || rm -rf "$work"
}
trap stop_all EXIT

print_step() { printf '\n== %s\n' "$*"; }
start() {
    local name=$1
    shift
    "$@" >"$work/$name.log" 2>&1 &
    pids+=("$!")
}
# Retries a command every 0.2 s until it succeeds; exits after 300 failed attempts.
wait_for() {
    local attempts=0
    until "$@" >/dev/null 2>&1; do
        attempts=$((attempts + 1))
        [ "$attempts" -lt 300 ] || { echo "timed out waiting for: $*"; tail -n 5 "$work"/*.log; exit 1; }
        sleep 0.2
    done
}

base=${DEMO_PORT:-18000}
platform=127.0.0.1:$base
bootstrap=demo-bootstrap-key
bootstrap_hash=$(printf %s "$bootstrap" | sha256sum | cut -d' ' -f1)

print_step "starting a stand-in platform on $platform"
start platform "$bin/standin-platform" --listen "$platform"
wait_for curl -sf "http://$platform/control/counters"

print_step "starting two data centres with two entry instances each"
number=0
for data_centre in samsun-hall trabzon-hall; do
    for _ in 1 2; do
        number=$((number + 1))
        cat >"$work/entry-$number.yaml" <<Y
instance: entry-$number
data_centre: $data_centre
callers: {listen: "127.0.0.1:$((base + 100 + number))"}
operators: {listen: "127.0.0.1:$((base + 200 + number))", bootstrap_key_sha256: $bootstrap_hash}
peers:
  listen: 127.0.0.1:$((base + 300 + number))
  seeds:
    - {instance: entry-1, data_centre: samsun-hall, address: "127.0.0.1:$((base + 301))"}
    - {instance: entry-3, data_centre: trabzon-hall, address: "127.0.0.1:$((base + 303))"}
platform: {address: "$platform"}
log: {level: ${DEMO_LOG_LEVEL:-info}}
Y
        "$bin/snipestalld" --settings "$work/entry-$number.yaml" --check
        start "entry-$number" "$bin/snipestalld" --settings "$work/entry-$number.yaml"
    done
done
operators=127.0.0.1:$((base + 201))
all_operators=$operators,127.0.0.1:$((base + 202)),127.0.0.1:$((base + 203)),127.0.0.1:$((base + 204))
for number in 1 2 3 4; do wait_for curl -s "http://127.0.0.1:$((base + 200 + number))/metrics"; done

print_step "starting three engines and one ledger service"
engine() {
    start "$1" "$bin/standin-engine" --listen "127.0.0.1:$3" --platform "$platform" --name "$1" \
        --data_centre "$2" --service language --class spot-small --models airtime-writer
}
engine engine-1 samsun-hall $((base + 401))
engine engine-2 samsun-hall $((base + 402))
engine engine-3 trabzon-hall $((base + 403))
start ledger-1 "$bin/standin-service" --listen "127.0.0.1:$((base + 411))" \
    --platform "$platform" --name ledger-1 --data_centre samsun-hall --service airtime-ledger \
    --class steady

print_step "applying examples/settings/karadeniz.yaml and waiting until all entry instances use it"
SNIPESTALL_OPERATOR_KEY=$bootstrap "$bin/snipestallctl" apply -f examples/settings/karadeniz.yaml \
    --server "$all_operators" --reason demo --wait
export SNIPESTALL_OPERATOR_KEY=example-operator-ayla

caller=example-key-coastal-ferries
chat() {
    curl -sS -N "http://127.0.0.1:$((base + 100 + $1))/v1/chat/completions" \
        -H "Authorization: Bearer $caller" \
        -d '{"model":"airtime-writer","stream":true,"max_tokens":6,
             "messages":[{"role":"user","content":"Draft the settlement of voyage 41."}]}'
}
chat_completes() { chat "$1" | grep -q 'data: \[DONE\]'; }
for number in 1 2 3 4; do wait_for chat_completes "$number"; done

print_step "streaming a chat request through each entry instance; an engine has one owner, so most are forwarded"
for number in 1 2 3 4; do
    offsets=$(chat "$number" | sed -n 's/^id: //p' | tr '\n' ' ')
    echo "entry-$number: offsets $offsets"
    [ "$offsets" = "0 1 2 3 4 5 " ]
done
"$bin/snipestallctl" status --server "$operators"

print_step "sending one top-up to three entry instances with the same idempotency key"
topup() {
    curl -sS "http://127.0.0.1:$((base + 100 + $1))/services/airtime-ledger/topups" \
        -H "Authorization: Bearer $caller" -H "Idempotency-Key: $2" \
        -d '{"account":"vessel-7","amount":20}'
}
topup_is_confirmed() { topup "$1" "warm-up-$1" | grep -q receipt; }
for number in 1 2 3; do wait_for topup_is_confirmed "$number"; done
for number in 1 2 3; do
    receipt=$(topup "$number" demo-topup)
    echo "entry-$number: $receipt"
    [[ $receipt == *receipt-demo-topup* ]]
done
runs=$(curl -sS "http://127.0.0.1:$((base + 411))/control/runs")
echo "runs counted by the ledger service: $runs"
[[ $runs == *'"key":"demo-topup"'* && $runs != *'"count":2'* ]]

print_step "lowering a customer's request rate limit, which takes effect without a restart"
"$bin/snipestallctl" set customers/coastal-ferries/limits/requests_per_second 0.001 \
    --server "$all_operators" --reason "demo: lower the request rate limit" --wait
refused=0
for _ in 1 2 3 4 5 6; do
    status=$(curl -s -o "$work/refusal" -w '%{http_code}' \
        "http://127.0.0.1:$((base + 101))/v1/chat/completions" \
        -H "Authorization: Bearer $caller" \
        -d '{"model":"airtime-writer","max_tokens":2,"messages":[{"role":"user","content":"x"}]}')
    [ "$status" != 429 ] || refused=1
done
cat "$work/refusal"
[ "$refused" = 1 ]
"$bin/snipestallctl" audit --server "$operators"

print_step "done; stopping all started processes"
