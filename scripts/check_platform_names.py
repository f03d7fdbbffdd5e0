#!/usr/bin/env python3
"""Fails if a name of the platform's wire stands outside platform/ and deploy/.

platform/wire_names.txt lists them, one a line. The adapter decodes them once into types of the
project's own; a name elsewhere means that something decides on the wire's format.
"""
import pathlib
import re
import subprocess
import sys

NAMES = [line.strip() for line in pathlib.Path("platform/wire_names.txt").read_text().splitlines()
         if line.strip() and not line.startswith("#")]
PATTERN = re.compile(r"(?<![\w-])(" + "|".join(re.escape(name) for name in NAMES) + r")(?![\w-])")
SEARCHED = ("src", "include", "apps", "proto", "examples", "bench")

files = subprocess.run(["git", "ls-files", "--cached", "--others", "--exclude-standard", *SEARCHED],
                       capture_output=True, text=True, check=True).stdout.split()
faults = []
for name in files:
    if "/generated/" in name or not pathlib.Path(name).is_file():
        continue
    for number, line in enumerate(pathlib.Path(name).read_text(errors="replace").splitlines(), 1):
        found = PATTERN.search(line)
        if found:
            faults.append(f"{name}:{number}: '{found[1]}' belongs in platform/")
print("\n".join(faults) or "platform names: ok")
sys.exit(1 if faults else 0)
