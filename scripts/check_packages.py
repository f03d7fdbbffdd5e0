#!/usr/bin/env python3
"""Fails if the build uses a file of a system package that deploy/system.toml doesn't provide.

Reads the list that build_inventory.py writes. A package is provided if it is listed under `packages`, if
a listed package depends on it, directly or indirectly, or if it is essential to Debian. Recommended
packages don't count, because a machine that installs only the list doesn't have them. A header that a
source includes directly must come from a listed package, or from the compiler, so that the build doesn't
break when another package drops a dependency.
"""
import argparse
import dataclasses
import pathlib
import re
import subprocess
import sys
import tomllib

COMPILER_PACKAGE = "g++"
EXAMPLES_PER_PACKAGE = 3


@dataclasses.dataclass(frozen=True)
class InstalledPackage:
    """dpkg's record of an installed package. Each dependency is a tuple of alternatives."""
    name: str
    essential: bool
    provides: tuple[str, ...]
    dependencies: tuple[tuple[str, ...], ...]


def names_in(field):
    """Returns the package names in items of a dependency field, without versions and architectures."""
    return tuple(re.split(r"[\s(:\[]", item.strip(), maxsplit=1)[0] for item in field if item.strip())


def parse_installed(line):
    name, essential, provides, dependencies = line.split("\t")
    groups = tuple(names_in(group.split("|")) for group in dependencies.split(",") if group.strip())
    return InstalledPackage(name, essential == "yes", names_in(provides.split(",")), groups)


def installed_packages():
    listed = subprocess.run(
        ["dpkg-query", "--show", "--showformat",
         "${Package}\t${Essential}\t${Provides}\t${Pre-Depends}, ${Depends}\n"],
        capture_output=True, text=True, check=True).stdout
    return [parse_installed(line) for line in listed.splitlines()]


def closure(roots, installed):
    """Returns the packages that apt installs for the roots, without recommended ones.

    apt takes the first alternative of a dependency, so a later one counts only if no earlier one is
    installed or provided.
    """
    by_name = {package.name: package for package in installed}
    providers = {}
    for package in installed:
        for name in package.provides:
            providers.setdefault(name, package.name)
    found = set()
    pending = list(roots)
    while pending:
        name = pending.pop()
        name = name if name in by_name else providers.get(name)
        if name is None or name in found:
            continue
        found.add(name)
        for alternatives in by_name[name].dependencies:
            available = [other for other in alternatives if other in by_name or other in providers]
            pending += available[:1]
    return found


def missing_packages(inventory, listed, installed):
    """Maps (package, reason) to the used paths of each package that has to be listed but isn't."""
    essential = [package.name for package in installed if package.essential]
    provided = closure([*listed, *essential], installed)
    includable = set(listed) | closure([COMPILER_PACKAGE], installed)
    missing = {}
    for kind, path, package in inventory:
        if package not in provided:
            reason = "isn't listed, and no listed package depends on it"
        elif kind == "include" and package not in includable:
            reason = "is included directly by a source of this project, but isn't listed"
        else:
            continue
        missing.setdefault((package, reason), []).append(path)
    return missing


def main():
    parser = argparse.ArgumentParser(description=__doc__,
                                     formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("inventory", type=pathlib.Path, help="output file of build_inventory.py")
    parser.add_argument("--without", metavar="PACKAGE", action="append", default=[],
                        help="checks as if deploy/system.toml didn't list this package")
    arguments = parser.parse_args()
    settings = pathlib.Path(__file__).resolve().parent.parent / "deploy/system.toml"
    listed = tomllib.loads(settings.read_text())["packages"]
    listed = [name for name in listed if name not in arguments.without]
    inventory = [line.split("\t") for line in arguments.inventory.read_text().splitlines()]
    missing = missing_packages(inventory, listed, installed_packages())
    for (package, reason), paths in sorted(missing.items()):
        owner = "a file that no package owns" if package == "-" else package
        examples = ", ".join(sorted(paths)[:EXAMPLES_PER_PACKAGE])
        print(f"{owner} {reason}: {examples} ({len(paths)} in total). "
              "Add it to `packages` of deploy/system.toml or remove its uses.")
    if not missing:
        print(f"packages of the build: ok ({len(inventory)} files, {len(listed)} packages listed)")
    sys.exit(1 if missing else 0)


if __name__ == "__main__":
    main()
