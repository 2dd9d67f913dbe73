"""Only a test listed in KNOWN-RED.txt may fail, and it must exist and fail."""

import os
import subprocess
import sys
import tempfile
from pathlib import Path

from parameterized import parameterized
from testtools import TestCase

ROOT = Path(__file__).parents[2]
RUN_TIMEOUT_S = 60
CONFTEST = "from tests.common.known_red import pytest_configure\n"
SAMPLES = """
import testtools

class Samples(testtools.TestCase):
    def test_good(self):
        pass

    def test_bad(self):
        self.assertEqual(1, 2)

    def test_broken_set_up(self):
        pass

    def setUp(self):
        super().setUp()
        if "set_up" in self.id():
            raise RuntimeError("no")
"""
WORKERS = ("--numprocesses=2", "--dist=worksteal")
GOOD, BAD, SET_UP = "test_good", "test_bad", "test_broken_set_up"


def entry(name: str) -> str:
    """Return the entry of a test of `SAMPLES`."""
    return (
        f"test: test_samples.py::Samples::{name}\n"
        "command: python -m pytest --hypothesis-seed=7\n"
        "seen: one is not two\nissue: 9\n"
    )


def run_pytest(listed: str, *arguments: str) -> subprocess.CompletedProcess[str]:
    """Run pytest on `SAMPLES` with the given text of KNOWN-RED.txt."""
    with tempfile.TemporaryDirectory() as directory:
        for name, text in (
            ("conftest.py", CONFTEST),
            ("test_samples.py", SAMPLES),
            ("pytest.ini", "[pytest]\n"),
            ("KNOWN-RED.txt", listed),
        ):
            Path(directory, name).write_text(text, encoding="utf-8")
        return subprocess.run(
            [
                sys.executable,
                "-B",
                "-m",
                "pytest",
                "-p",
                "no:cacheprovider",
                *arguments,
            ],
            cwd=directory,
            env={**os.environ, "PYTHONPATH": str(ROOT)},
            capture_output=True,
            text=True,
            timeout=RUN_TIMEOUT_S,
        )


class KnownRedTest(TestCase):
    @parameterized.expand(
        [
            ("listed_failures_pass", entry(BAD) + "\n" + entry(SET_UP), (), 0,
             "known red: test_samples.py::Samples::test_bad (one is not two; issue 9)"),
            ("unlisted_failure", "# nothing\n", (), 1, "2 failed, 1 passed"),
            ("one_unlisted_failure", entry(BAD), (), 1, "1 failed, 1 passed, 1 xfai"),
            ("listed_test_passes", entry(GOOD), ("-k", "good"), 1, "XPASS(strict)"),
            ("missing_test", entry("test_gone"), (), 4, "does not exist"),
            ("missing_in_a_selected_file", entry("test_gone"), ("test_samples.py",), 4,
             "does not exist"),
            ("not_selected", entry(BAD), ("-k", "good"), 0, "1 passed"),
            ("missing_and_not_selected", entry("test_gone"), ("-k", "good"), 4,
             "does not exist"),
            ("test_of_another_file", entry("t").replace("_samples", "_else"),
             ("test_samples.py", "-k", "good"), 0, "1 passed"),
            ("missing_field", entry(BAD).replace("issue: 9", ""), (), 4, "must have"),
            ("listed_fail_in_workers", entry(BAD) + "\n" + entry(SET_UP), WORKERS, 0,
             "known red: test_samples.py::Samples::test_bad (one is not two; issue 9)"),
            ("unlisted_failure_in_a_worker", entry(BAD), WORKERS, 1, "1 failed"),
            ("listed_test_passes_in_a_worker", entry(GOOD), WORKERS, 1,
             "XPASS(strict)"),
            ("missing_test_in_workers", entry("test_gone"), WORKERS, 4,
             "does not exist"),
            ("empty_field", entry(BAD).replace("issue: 9", "issue:"), (), 4,
             "must have"),
        ]
    )  # fmt: skip
    def test_the_run_passes_or_fails_as_listed(
        self, _name: str, listed: str, arguments: tuple, code: int, expected_output: str
    ) -> None:
        run = run_pytest(listed, *arguments)
        self.assertEqual(code, run.returncode, run.stdout + run.stderr)
        self.assertIn(expected_output, run.stdout + run.stderr)
