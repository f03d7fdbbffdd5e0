#!/usr/bin/env bash
# The stand-ins of the cases are Python programs (review/common/rig.py); nothing has to be built.
# Checks that they can be loaded and that the gateway was built as the deploy file says.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/common/rig.py review/*/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
[ -x target/bin/snipestall-gateway ] || echo "build the gateway first, as deploy/system.toml says" >&2
