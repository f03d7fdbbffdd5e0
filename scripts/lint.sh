#!/usr/bin/env bash
# clang-tidy over the sources given, or over all. Needs a configured build directory.
# A source whose text, headers and settings are unchanged since it last passed is passed over.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
files=("$@")
[ ${#files[@]} -gt 0 ] ||
    mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cpp' | grep -v generated)
export BUILD_DIR=$build
printf '%s\n' "${files[@]}" | xargs -P "$(nproc)" -n 1 python3 scripts/lint_one.py
echo "lint: ok (${#files[@]} sources)"
