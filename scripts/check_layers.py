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
    # Decisions of the gateway; of wire it may see the plain types below only.
    "serving": {"base", "wire"},
    "gateway": {"base", "serving", "wire"},
    "platform": {"base", "wire"},
    "peer": {"base", "settings", "wire", "platform"},
    "entry": {"base", "settings", "policy", "wire", "platform", "peer"},
    "admin": {"base", "settings", "policy", "wire", "platform", "peer", "entry"},
}
# The layers that decide may not even see I/O, clocks or random devices.
DECIDING = {"policy", "serving"}
PLAIN_WIRE_TYPES = {"endpoint"}
FORBIDDEN = re.compile(
    r"boost/(asio|beast)|grpcpp|sys/socket|system_clock::now|steady_clock::now|random_device")
INCLUDE = re.compile(r'#include [<"]snipestall/([a-z]+)/([a-z0-9_]+)')

faults = []
for root in ("include/snipestall", "src/snipestall"):
    for path in sorted(pathlib.Path(root).rglob("*.[ch]pp")):
        module = path.parts[2]
        for number, line in enumerate(path.read_text().splitlines(), 1):
            found = INCLUDE.search(line)
            if found and found[1] != module and found[1] not in ALLOWED[module]:
                faults.append(f"{path}:{number}: {module} may not include {found[1]}")
            if module in DECIDING and FORBIDDEN.search(line):
                faults.append(f"{path}:{number}: {module} may not use {line.strip()}")
            if module == "serving" and found and found[1] == "wire":
                if found[2] not in PLAIN_WIRE_TYPES:
                    faults.append(f"{path}:{number}: serving may not use wire/{found[2]}")
print("\n".join(faults) or "layers: ok")
sys.exit(1 if faults else 0)
