#!/usr/bin/env bash
# Installs, builds and runs every test.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
scripts/build.sh
python3 scripts/run_ctest.py "${BUILD_DIR:-build}"
