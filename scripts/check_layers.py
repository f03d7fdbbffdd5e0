#!/usr/bin/env python3
"""Fails on includes and calls that break the layering: each module may include only those in ALLOWED."""
import pathlib
import re
import sys

ALLOWED = {
    "base": set(),
    "settings": {"base"},
    "policy": {"base", "settings"},
    "wire": {"base"},
    # The gateway's decision logic. Of wire it may include only PLAIN_WIRE_TYPES.
    "serving": {"base", "wire"},
    "gateway": {"base", "serving", "wire"},
    "platform": {"base", "wire"},
    "peer": {"base", "settings", "wire", "platform"},
    "entry": {"base", "settings", "policy", "wire", "platform", "peer"},
    "admin": {"base", "settings", "policy", "wire", "platform", "peer", "entry"},
}
# Modules with decision logic only. They may not use I/O, clocks or random devices.
DECISION_MODULES = {"policy", "serving"}
PLAIN_WIRE_TYPES = {"endpoint"}
FORBIDDEN = re.compile(
    r"boost/(asio|beast)|grpcpp|sys/socket|system_clock::now|steady_clock::now|random_device")
# A task that is spawned bare ends without a trace when it throws; wire/spawn.hpp logs it.
BARE_SPAWN = re.compile(r"asio::detached|\bco_spawn\(|#include <boost/asio/(co_spawn|detached)\.hpp>")
# The second is a part of tests.
BARE_SPAWN_ALLOWED = {"src/snipestall/wire/spawn.cpp", "src/snipestall/platform/run_task.hpp"}
INCLUDE = re.compile(r'#include [<"]snipestall/([a-z]+)/([a-z0-9_]+)')

violations = []
for root in ("include/snipestall", "src/snipestall"):
    for path in sorted(pathlib.Path(root).rglob("*.[ch]pp")):
        module = path.parts[2]
        for number, line in enumerate(path.read_text().splitlines(), 1):
            match = INCLUDE.search(line)
            if match and match[1] != module and match[1] not in ALLOWED[module]:
                violations.append(f"{path}:{number}: {module} may not include {match[1]}")
            if module in DECISION_MODULES and FORBIDDEN.search(line):
                violations.append(f"{path}:{number}: {module} may not use {line.strip()}")
            if module == "serving" and match and match[1] == "wire":
                if match[2] not in PLAIN_WIRE_TYPES:
                    violations.append(f"{path}:{number}: serving may not use wire/{match[2]}")
for root in ("include/snipestall", "src/snipestall", "platform/src", "platform/include",
             "apps/snipestall_gateway", "apps/snipestalld"):
    for path in sorted(pathlib.Path(root).rglob("*.[ch]pp")):
        if str(path) in BARE_SPAWN_ALLOWED or path.name.endswith("_test.cpp"):
            continue
        for number, line in enumerate(path.read_text().splitlines(), 1):
            if BARE_SPAWN.search(line):
                violations.append(f"{path}:{number}: use wire/spawn.hpp")
print("\n".join(violations) or "layers: ok")
sys.exit(1 if violations else 0)
