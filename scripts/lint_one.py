#!/usr/bin/env python3
"""Runs clang-tidy on one source, unless the same inputs have passed before.

The cache key is a hash of the source, the headers that it includes, directly or indirectly, from
INCLUDE_ROOTS and the includer's directory, TIDY_VERSION and .clang-tidy, so that a pass is reused only
for identical text.
"""
import hashlib
import os
import pathlib
import re
import subprocess
import sys

INCLUDE = re.compile(r'^\s*#include "([^"]+)"', re.M)
INCLUDE_ROOTS = [pathlib.Path(p) for p in (
    "include", "src", "src/generated", "platform/include", "platform/standin", "apps", "apps/snipestall_load",
    "apps/snipestallctl", "standins", "tests", "bench", ".")]
TIDY_VERSION = "14"


def collect_includes(path, collected):
    if path in collected:
        return
    collected.add(path)
    for name in INCLUDE.findall(path.read_text()):
        for root in [path.parent, *INCLUDE_ROOTS]:
            if (root / name).is_file():
                collect_includes((root / name), collected)
                break
        else:
            sys.exit(f"{path} includes {name}, which is in none of INCLUDE_ROOTS; add its directory")


source = pathlib.Path(sys.argv[1])
inputs = set()
collect_includes(source, inputs)
digest = hashlib.sha256((TIDY_VERSION + pathlib.Path(".clang-tidy").read_text()).encode())
for path in sorted(inputs, key=str):
    digest.update(str(path).encode() + b"\0" + path.read_bytes())
cache = pathlib.Path(os.environ.get("LINT_CACHE", pathlib.Path.home() / ".cache/snipestall-lint"))
cache.mkdir(parents=True, exist_ok=True)
passed_marker = cache / digest.hexdigest()
if passed_marker.exists():
    sys.exit(0)
# clang 14 supports standard coroutines but doesn't define the feature test macro.
result = subprocess.run(
    ["clang-tidy", "--quiet", "-p", os.environ.get("BUILD_DIR", "build"),
     "--extra-arg=-D__cpp_impl_coroutine=201902L", "--extra-arg=-Wno-everything", str(source)],
    capture_output=True, text=True)
if result.returncode == 0:
    passed_marker.touch()
    sys.exit(0)
print(result.stdout)
print("\n".join(line for line in result.stderr.splitlines() if "error" in line))
sys.exit(1)
