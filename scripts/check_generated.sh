#!/usr/bin/env bash
# Fails if the committed generated code differs from the output of protoc. Pass --write to regenerate it.
set -euo pipefail
cd "$(dirname "$0")/../proto"
out=../src/generated
[ "${1:-}" = --write ] || out=$(mktemp -d)
protoc --cpp_out="$out" --grpc_out="$out" \
    --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" *.proto
[ "${1:-}" = --write ] || diff -r "$out" ../src/generated
echo "generated code: ok"
