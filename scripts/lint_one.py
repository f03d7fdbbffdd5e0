#!/usr/bin/env python3
"""Runs clang-tidy on one source, unless the same preprocessed inputs have passed before.

The key is a hash of the source, every header of this project that it includes, and .clang-tidy,
so that a pass is only reused for the very same text.
"""
import hashlib
import os
import pathlib
import re
import subprocess
import sys

INCLUDE = re.compile(r'^\s*#include "([^"]+)"', re.M)
ROOTS = [pathlib.Path(p) for p in ("include", "src", "apps", "standins", "tests", "bench", ".")]
TIDY_VERSION = "14"


def closure(path, seen):
    if path in seen:
        return
    seen.add(path)
    for name in INCLUDE.findall(path.read_text()):
        for root in [path.parent, *ROOTS]:
            if (root / name).is_file():
                closure((root / name), seen)
                break


source = pathlib.Path(sys.argv[1])
files = set()
closure(source, files)
digest = hashlib.sha256((TIDY_VERSION + pathlib.Path(".clang-tidy").read_text()).encode())
for path in sorted(files, key=str):
    digest.update(str(path).encode() + b"\0" + path.read_bytes())
cache = pathlib.Path(os.environ.get("LINT_CACHE", pathlib.Path.home() / ".cache/snipestall-lint"))
cache.mkdir(parents=True, exist_ok=True)
mark = cache / digest.hexdigest()
if mark.exists():
    sys.exit(0)
# clang 14 knows the standard's coroutines but does not announce them by the macro.
run = subprocess.run(
    ["clang-tidy", "--quiet", "-p", os.environ.get("BUILD_DIR", "build"),
     "--extra-arg=-D__cpp_impl_coroutine=201902L", "--extra-arg=-Wno-everything", str(source)],
    capture_output=True, text=True)
if run.returncode == 0:
    mark.touch()
    sys.exit(0)
print(run.stdout)
print("\n".join(l for l in run.stderr.splitlines() if "error" in l))
sys.exit(1)
