#!/usr/bin/env bash
# Installs what the build and the checks need on a fresh Debian 12 machine; does nothing where all
# of it is there.
set -euo pipefail
packages=(
    g++ cmake ninja-build ccache mold git python3 clang-format clang-tidy
    libboost1.81-dev libboost-json1.81-dev libboost-url1.81-dev
    libgrpc++-dev protobuf-compiler-grpc protobuf-compiler prometheus-cpp-dev libyaml-cpp-dev
    libgflags-dev libeasyloggingpp-dev libexpected-dev libssl-dev openssl curl
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
