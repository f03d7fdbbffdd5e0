#!/usr/bin/env python3
"""Fails on an include that points upward: each module may include only those listed here."""
import pathlib
import re
import sys

ALLOWED = {
    "base": set(),
    "settings": {"base"},
    "policy": {"base", "settings"},
    "wire": {"base"},
    "platform": {"base", "wire"},
    "peer": {"base", "settings", "wire", "platform"},
    "entry": {"base", "settings", "policy", "wire", "platform", "peer"},
    "admin": {"base", "settings", "policy", "wire", "platform", "peer", "entry"},
}
# The policy layer decides; it may not even see I/O, clocks or random devices.
POLICY_FORBIDDEN = re.compile(
    r"boost/(asio|beast)|grpcpp|sys/socket|system_clock::now|steady_clock::now|random_device")
INCLUDE = re.compile(r'#include [<"]snipestall/([a-z]+)/')

faults = []
for root in ("include/snipestall", "src/snipestall"):
    for path in sorted(pathlib.Path(root).rglob("*.[ch]pp")):
        module = path.parts[2]
        for number, line in enumerate(path.read_text().splitlines(), 1):
            found = INCLUDE.search(line)
            if found and found[1] != module and found[1] not in ALLOWED[module]:
                faults.append(f"{path}:{number}: {module} may not include {found[1]}")
            if module == "policy" and POLICY_FORBIDDEN.search(line):
                faults.append(f"{path}:{number}: policy may not use {line.strip()}")
print("\n".join(faults) or "layers: ok")
sys.exit(1 if faults else 0)
