#!/usr/bin/env bash
# Builds as deploy/system.toml says, in a fresh checkout, and fails if that uses a system package that
# isn't listed there.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 tests/build/check_packages_test.py
inventory=$(mktemp)
log=$(mktemp)
trap 'rm -f "$inventory" "$log"' EXIT
python3 scripts/build_inventory.py "$inventory" >"$log" 2>&1 || { cat "$log"; exit 1; }
python3 scripts/check_packages.py "$inventory"
BUILD_INVENTORY=$inventory python3 tests/build/dropped_package_test.py
