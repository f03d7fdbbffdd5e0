"""Tests the comparison of the files that a build uses with the listed packages, on made-up machines."""
import pathlib
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
import check_packages  # noqa: E402


def machine(*lines):
    return [check_packages.parse_installed(line) for line in lines]


def missing(inventory, listed, installed):
    return {package for package, _ in check_packages.missing_packages(inventory, listed, installed)}


COMPILER = ["g++\tno\t\tg++-12 (>= 12.2.0-1~), libc6-dev | libc-dev", "g++-12\tno\t\t",
            "libc6-dev\tno\tlibc-dev (= 2.36)\t"]


class CheckPackagesTest(unittest.TestCase):

    def test_a_header_of_a_recommended_package_is_named(self):
        """Guards against a build that passes only where recommended packages are installed."""
        installed = machine(*COMPILER, "protobuf-compiler\tno\t\tlibprotoc32 (= 3.21)",
                            "libprotoc32\tno\t\t", "libprotobuf-dev\tno\t\t")
        inventory = [("header", "/usr/include/google/protobuf/any.h", "libprotobuf-dev")]
        self.assertEqual(missing(inventory, ["g++", "protobuf-compiler"], installed), {"libprotobuf-dev"})

    def test_dependencies_and_essential_packages_are_provided(self):
        """Guards against reporting essential packages and dependencies of listed packages as missing."""
        installed = machine(*COMPILER, "dash\tyes\t\t", "cmake\tno\t\tcmake-data:all [amd64]",
                            "cmake-data\tno\t\t")
        inventory = [("program", "/bin/sh", "dash"), ("cmake", "/usr/share/cmake/a.cmake", "cmake-data"),
                     ("library", "/usr/lib/libc.so", "libc6-dev")]
        self.assertEqual(missing(inventory, ["g++", "cmake"], installed), set())

    def test_a_second_alternative_is_not_provided(self):
        """Guards against a result that depends on which other packages this machine has installed."""
        installed = machine(*COMPILER, "a-dev\tno\t\tfirst | second", "first\tno\t\t", "second\tno\t\t")
        inventory = [("header", "/usr/include/second.h", "second")]
        self.assertEqual(missing(inventory, ["g++", "a-dev"], installed), {"second"})

    def test_the_provider_of_a_virtual_package_is_provided(self):
        """Guards against ignoring a dependency on a virtual package that another package provides."""
        installed = machine(*COMPILER, "a-dev\tno\t\tmta", "postfix\tno\tmta (= 1), other\t")
        inventory = [("program", "/usr/sbin/sendmail", "postfix")]
        self.assertEqual(missing(inventory, ["g++", "a-dev"], installed), set())

    def test_an_include_of_our_own_needs_a_listed_package(self):
        """Guards against a build that breaks when another package drops a dependency."""
        installed = machine(*COMPILER, "libgrpc++-dev\tno\t\tlibabsl-dev", "libabsl-dev\tno\t\t")
        path = "/usr/include/absl/status/status.h"
        listed = ["g++", "libgrpc++-dev"]
        self.assertEqual(missing([("header", path, "libabsl-dev")], listed, installed), set())
        self.assertEqual(missing([("include", path, "libabsl-dev")], listed, installed), {"libabsl-dev"})
        self.assertEqual(missing([("include", "/usr/include/errno.h", "libc6-dev")], listed, installed),
                         set())

    def test_a_file_of_no_package_fails(self):
        """Guards against a library that was built by hand on the machine and is in no package."""
        inventory = [("library", "/usr/local/lib/libfoo.so", "-")]
        self.assertEqual(missing(inventory, ["g++"], machine(*COMPILER)), {"-"})


if __name__ == "__main__":
    unittest.main()
