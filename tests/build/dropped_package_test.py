"""Removes each listed package from the list: the check has to fail and to name that package.

Reads the inventory of a real build, whose path is in the environment variable BUILD_INVENTORY.
"""
import os
import pathlib
import subprocess
import sys
import tomllib
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "scripts"))
import check_packages  # noqa: E402


class DroppedPackageTest(unittest.TestCase):

    def test_each_listed_package_is_missed(self):
        """Guards against a check that passes regardless of the list."""
        listed = tomllib.loads((ROOT / "deploy/system.toml").read_text())["packages"]
        installed = check_packages.installed_packages()
        for package in listed:
            rest = [name for name in listed if name != package]
            if package in check_packages.closure(rest, installed):
                continue
            lost = check_packages.closure([package], installed) - check_packages.closure(rest, installed)
            with self.subTest(package=package):
                done = subprocess.run(
                    [sys.executable, ROOT / "scripts/check_packages.py", os.environ["BUILD_INVENTORY"],
                     "--without", package], capture_output=True, text=True)
                named = {line.split(" ")[0] for line in done.stdout.splitlines()}
                self.assertEqual(done.returncode, 1, done.stdout + done.stderr)
                self.assertTrue(named & lost, f"{sorted(named)} names none of {sorted(lost)}")


if __name__ == "__main__":
    unittest.main()
