#!/usr/bin/env bash
# Runs clang-tidy on the given sources, or on all. Needs a configured build directory.
# lint_one.py skips a source if the same inputs have passed before.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
files=("$@")
[ ${#files[@]} -gt 0 ] ||
    mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cpp' | grep -v generated)
export BUILD_DIR=$build
printf '%s\n' "${files[@]}" | xargs -P "$(nproc)" -n 1 python3 scripts/lint_one.py
echo "lint: ok (${#files[@]} sources)"
