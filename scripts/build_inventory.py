#!/usr/bin/env python3
"""Lists every system file that the build of deploy/system.toml uses, with the package it belongs to.

The build runs in a clean copy of the working tree, as an unprivileged user without a home directory, and
with proxy settings that make downloads fail. Each line of the output holds KIND, PATH and PACKAGE,
separated by tabs. Kinds:

  include   a header that a source of this project includes directly
  header    a header that is included only indirectly
  cmake     a file that cmake reads or requires during configuration
  library   a library or object that the linker reads or the program loads
  program   a program that the build runs

PACKAGE is '-' for a file that no package owns.
"""
import argparse
import dataclasses
import json
import os
import pathlib
import pwd
import re
import shlex
import shutil
import subprocess
import sys
import tempfile
import tomllib

UNPRIVILEGED_USER = "nobody"
SYSTEM_PATH = "/usr/sbin:/usr/bin:/sbin:/bin"
# No process listens on this port, so a download through a proxy fails at once.
CLOSED_PROXY = "http://127.0.0.1:9"
TARGET_DIR = "target"
READ_COMMANDS = {"configure_file", "execute_process", "file"}
# Paths that belong to the kernel, not to a package.
KERNEL_DIRS = ("/dev/", "/proc/", "/sys/")

CMAKE_WRAPPER = """#!/bin/sh
for argument in "$@"; do
    [ "$argument" = --build ] && exec /usr/bin/cmake "$@"
done
exec /usr/bin/cmake --trace-expand --trace-format=json-v1 --trace-redirect={trace} "$@"
"""

INCLUDE_LINE = re.compile(r'^\s*#\s*include\s*<([^>]+)>', re.MULTILINE)
QUOTED_WORD = re.compile(r'^ "?(/[^" ]+)')


@dataclasses.dataclass(frozen=True, order=True)
class UsedFile:
    kind: str
    path: str
    package: str = "-"


class Build:
    """One run of the build command in its own checkout."""

    def __init__(self, checkout, work):
        self.checkout = checkout
        self.target = checkout / TARGET_DIR
        self.trace = work / "cmake_trace.json"
        self.wrappers = work / "wrappers"

    def run(self, command):
        self.wrappers.mkdir()
        wrapper = self.wrappers / "cmake"
        wrapper.write_text(CMAKE_WRAPPER.format(trace=self.trace))
        wrapper.chmod(0o755)
        self._execute(["/bin/sh", "-c", command], path=f"{self.wrappers}:{SYSTEM_PATH}", stdout=sys.stderr)

    def capture_output(self, command):
        completed = self._execute(command, path=SYSTEM_PATH, stdout=subprocess.PIPE)
        return completed.stdout

    def _execute(self, command, path, stdout):
        environment = {"PATH": path, "HOME": "/nonexistent", "LC_ALL": "C"}
        for name in ("http_proxy", "https_proxy", "ftp_proxy"):
            environment[name] = CLOSED_PROXY
        user = {"user": UNPRIVILEGED_USER, "extra_groups": []} if os.geteuid() == 0 else {}
        return subprocess.run(command, cwd=self.checkout, env=environment, stdout=stdout,
                              text=True, check=True, **user)


def copy_checkout(repository, destination):
    """Copies the working tree's tracked files, and the untracked files that git doesn't ignore."""
    listed = subprocess.run(["git", "ls-files", "-z", "--cached", "--others", "--exclude-standard"],
                            cwd=repository, capture_output=True, text=True, check=True).stdout
    for name in filter(None, listed.split("\0")):
        source = repository / name
        if not source.is_file():
            continue
        copy = destination / name
        copy.parent.mkdir(parents=True, exist_ok=True)
        shutil.copy2(source, copy)


def change_owner_to_unprivileged_user(directory):
    if os.geteuid() != 0:
        return
    owner = pwd.getpwnam(UNPRIVILEGED_USER).pw_uid
    for parent, directories, files in os.walk(directory):
        for name in [".", *directories, *files]:
            os.lchown(os.path.join(parent, name), owner, -1)


def existing_files(words):
    return {word for word in words if word.startswith("/") and os.path.isfile(word)}


def cmake_files(trace):
    """Returns two sets from cmake's trace: the files that it reads or whose absence would stop it, and the
    files that execute_process names."""
    read = set()
    run = set()
    for line in trace.read_text().splitlines():
        call = json.loads(line)
        if "cmd" not in call:
            continue
        read |= existing_files([call["file"]])
        words = [word for argument in call["args"] for word in argument.split(";")]
        command = call["cmd"].lower()
        if command == "execute_process":
            run |= existing_files(words)
        elif command in READ_COMMANDS:
            read |= existing_files(words)
        elif command == "if" and "EXISTS" in words:
            required = [path for word, path in zip(words, words[1:]) if word == "EXISTS"]
            read |= existing_files(required)
    return read, run


def compiled_files(build):
    """Returns the project's sources and all headers that they were compiled with."""
    return {line.strip()
            for line in build.capture_output(["ninja", "-C", TARGET_DIR, "-t", "deps"]).splitlines()
            if line.startswith(" ")}


def search_directories(compiler):
    """Returns the compiler's search path for `#include <...>`, in order."""
    verbose = subprocess.run([compiler, "-x", "c++", "-E", "-v", "/dev/null"], capture_output=True,
                             text=True, check=True).stderr
    search_list = verbose.partition("search starts here:\n")[2].partition("End of search list.")[0]
    lines = [line.strip() for line in search_list.splitlines() if line.startswith(" ")]
    return [os.path.normpath(line) for line in lines]


def included_headers(own_sources, system_headers, directories):
    """Returns the system headers that sources of this project include directly."""
    names = set()
    for path in own_sources:
        names |= set(INCLUDE_LINE.findall(pathlib.Path(path).read_text(errors="replace")))
    found = set()
    for name in names:
        candidates = [f"{directory}/{name}" for directory in directories]
        found |= set([path for path in candidates if path in system_headers][:1])
    return found


def linked_files(build, link_command):
    """Relinks the program with --trace; returns the files that the linker reads and those that the program
    loads."""
    words = shlex.split(link_command.replace(": && ", "").removesuffix(" && :"))
    output_index = words.index("-o") + 1
    program = build.target / words[output_index]
    words[output_index] = str(build.target / "traced_link")
    trace = subprocess.run([*words, "-Wl,--trace"], cwd=build.target, capture_output=True, text=True,
                           check=True).stdout.splitlines()
    loaded = re.findall(r"(/\S+) \(0x", build.capture_output(["ldd", str(program)]))
    return existing_files([line.split("(")[0].strip() for line in trace] + loaded)


def compiler_programs(command):
    """Returns the programs that the compiler would start; -### prints the commands without running them."""
    verbose = subprocess.run([*shlex.split(command), "-###"], capture_output=True, text=True,
                             check=True).stderr
    return existing_files([match[1] for match in map(QUOTED_WORD.match, verbose.splitlines()) if match])


def programs(commands, compiler):
    """Returns the programs that the build's commands name, the shell and ninja that run the commands, and the
    programs that the compiler starts."""
    words = existing_files(word for line in commands for word in shlex.split(line))
    named = {word for word in words if os.access(word, os.X_OK) and ".so" not in word}
    empty_source = ["-x", "c++", "/dev/null"]
    compiler_started = compiler_programs(shlex.join([compiler, "-c", *empty_source]))
    compiler_started |= compiler_programs(shlex.join([compiler, *empty_source]))
    return named | compiler_started | {"/bin/sh", shutil.which("ninja", path=SYSTEM_PATH)}


def libraries(build, commands):
    """Returns the other files that the build's commands name, and those that the linker reads or the program
    loads."""
    words = existing_files(word for line in commands for word in shlex.split(line))
    named = {word for word in words if ".so" in word or not os.access(word, os.X_OK)}
    linked = [linked_files(build, line) for line in commands if " -o bin/" in line]
    return named.union(*linked)


def used_files(build):
    sources = {os.path.normpath(path) for path in compiled_files(build)}
    own_sources = {path for path in sources if path.startswith(f"{build.checkout}/")}
    headers = sources - own_sources
    commands = build.capture_output(["ninja", "-C", TARGET_DIR, "-t", "commands"]).splitlines()
    compiler = shlex.split(commands[0])[0]
    included = included_headers(own_sources, headers, search_directories(compiler))
    read, run = cmake_files(build.trace)
    kinds = {"include": included, "header": headers - included, "cmake": read,
             "library": libraries(build, commands), "program": run | programs(commands, compiler)}
    prefix = (f"{build.checkout}/", f"{build.wrappers}/", *KERNEL_DIRS)
    return [UsedFile(kind, path) for kind, paths in kinds.items() for path in paths
            if not path.startswith(prefix)]


def path_aliases(path):
    """Returns [name, alias] pairs of the path and its link target. The alias adds or drops /usr, because a
    merged /usr makes both spellings refer to one file."""
    found = []
    for name in dict.fromkeys([path, os.path.realpath(path)]):
        found.append([name, name.removeprefix("/usr") if name.startswith("/usr/") else f"/usr{name}"])
    return found


def owners(paths):
    """Maps each path that a package owns to the name of that package."""
    queried = sorted({name for path in paths for pair in path_aliases(path) for name in pair})
    listing = subprocess.run(["dpkg-query", "--search", *queried], capture_output=True, text=True).stdout
    owner = {}
    for line in listing.splitlines():
        package, _, path = line.partition(": ")
        if not package.startswith("diversion by"):
            owner[path] = package.split(",")[0].split(":")[0]
    return owner


def with_packages(files):
    """Fills in the packages. A link and its target both count as used, and may belong to different ones."""
    owner = owners({file.path for file in files})
    owned = set()
    for file in files:
        packages = {owner[name] for pair in path_aliases(file.path) for name in pair if name in owner}
        owned |= {dataclasses.replace(file, package=package) for package in packages or {"-"}}
    return sorted(owned)


def build_and_list(repository):
    command = tomllib.loads((repository / "deploy/system.toml").read_text())["build"]
    with tempfile.TemporaryDirectory(prefix="build-inventory-") as name:
        work = pathlib.Path(name)
        work.chmod(0o755)
        build = Build(work / "checkout", work)
        copy_checkout(repository, build.checkout)
        change_owner_to_unprivileged_user(work)
        build.run(command)
        return with_packages(used_files(build))


def main():
    parser = argparse.ArgumentParser(description=__doc__,
                                     formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("output", type=pathlib.Path, help="file to write")
    arguments = parser.parse_args()
    repository = pathlib.Path(__file__).resolve().parent.parent
    files = build_and_list(repository)
    lines = ["\t".join(dataclasses.astuple(file)) for file in files]
    arguments.output.write_text("\n".join(lines) + "\n")


if __name__ == "__main__":
    main()
