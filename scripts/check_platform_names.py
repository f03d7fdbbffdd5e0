#!/usr/bin/env python3
"""Fails if a name of the platform's wire formats is used in one of the SEARCHED_DIRS.

platform/wire_names.txt lists the names, one per line. Only the adapter in platform/ decodes these
formats, into types of this project; a name elsewhere means that other code depends on a format.
"""
import pathlib
import re
import subprocess
import sys

NAMES = [line.strip() for line in pathlib.Path("platform/wire_names.txt").read_text().splitlines()
         if line.strip() and not line.startswith("#")]
PATTERN = re.compile(r"(?<![\w-])(" + "|".join(re.escape(name) for name in NAMES) + r")(?![\w-])")
SEARCHED_DIRS = ("src", "include", "apps", "proto", "examples", "bench")

files = subprocess.run(["git", "ls-files", "--cached", "--others", "--exclude-standard", *SEARCHED_DIRS],
                       capture_output=True, text=True, check=True).stdout.split()
violations = []
for name in files:
    if "/generated/" in name or not pathlib.Path(name).is_file():
        continue
    for number, line in enumerate(pathlib.Path(name).read_text(errors="replace").splitlines(), 1):
        match = PATTERN.search(line)
        if match:
            violations.append(f"{name}:{number}: '{match[1]}' belongs in platform/")
print("\n".join(violations) or "platform names: ok")
sys.exit(1 if violations else 0)
