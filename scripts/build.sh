#!/usr/bin/env bash
# Configures and builds into build/ (or $BUILD_DIR), with a compiler cache and a fast linker.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
cmake -S . -B "$build" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo \
    -DCMAKE_CXX_COMPILER_LAUNCHER=ccache -DCMAKE_EXE_LINKER_FLAGS=-fuse-ld=mold >/dev/null
cmake --build "$build" "$@"
