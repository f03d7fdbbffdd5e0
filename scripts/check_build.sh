#!/usr/bin/env bash
# Runs the build command of deploy/system.toml in a clean copy of the working tree. Fails if the
# build uses a system package that the file neither lists nor pulls in as a dependency.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 tests/build/check_packages_test.py
inventory=$(mktemp)
log=$(mktemp)
trap 'rm -f "$inventory" "$log"' EXIT
python3 scripts/build_inventory.py "$inventory" >"$log" 2>&1 || { cat "$log"; exit 1; }
python3 scripts/check_packages.py "$inventory"
BUILD_INVENTORY=$inventory python3 tests/build/dropped_package_test.py
