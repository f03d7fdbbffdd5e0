#!/usr/bin/env bash
# Installs the packages that the build and the checks need on Debian 12; does nothing if all are
# installed.
set -euo pipefail
cd "$(dirname "$0")/.."
# sed reads the list, because python3 may not be installed yet.
mapfile -t packages < <(sed -n 's/^packages = \[\(.*\)\]$/\1/p' deploy/system.toml | tr -d '" ' | tr , '\n')
[ ${#packages[@]} -gt 0 ] || { echo "deploy/system.toml: no line 'packages = [...]'" >&2; exit 1; }
packages+=(
    ccache mold git python3 clang-format clang-tidy protobuf-compiler openssl curl
    libgtest-dev libgmock-dev libbenchmark-dev librapidcheck-dev
)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' ||
        missing+=("$package")
done
if [ ${#missing[@]} -gt 0 ]; then
    export DEBIAN_FRONTEND=noninteractive
    apt-get update -qq
    apt-get install -y -qq "${missing[@]}" >/dev/null
fi
