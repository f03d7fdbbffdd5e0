#!/usr/bin/env bash
# Configures and builds into build/ (or $BUILD_DIR).
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
cmake -S . -B "$build" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
cmake --build "$build" "$@"
