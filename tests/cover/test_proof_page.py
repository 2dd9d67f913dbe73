"""Check that the page of proofs names only tests that exist."""

import importlib
import re
import unittest
from pathlib import Path

from parameterized import parameterized
from testtools import TestCase

ROOT = Path(__file__).parents[2]
PAGE = ROOT / "docs" / "proof.md"
NAMED_TEST = re.compile(r"tests/[\w/]+\.py::\w+::\w+")
ROW = re.compile(r"^\|(.+)\|$")
SEPARATOR = re.compile(r"^[\s|:-]+$")
NOT_PROVED = "not proved"
PROMISE_COUNT = 8


def table_rows(page: str) -> list[list[str]]:
    """Return the cells of each row of the page's tables, without the heading rows."""
    rows = []
    lines = page.splitlines()
    for line, following in zip(lines, [*lines[1:], ""], strict=True):
        if (
            ROW.match(line)
            and not SEPARATOR.match(line)
            and not SEPARATOR.match(following)
        ):
            rows.append([cell.strip() for cell in line.strip("|").split("|")])
    return rows


def missing_tests(page: str) -> list[str]:
    """Return the node ids on the page that name no existing test."""
    return [node for node in NAMED_TEST.findall(page) if not is_test(node)]


def rows_without_proof(page: str) -> list[list[str]]:
    """Return the rows whose last cell neither names a test nor says `not proved`."""
    return [
        row
        for row in table_rows(page)
        if not NAMED_TEST.search(row[-1]) and NOT_PROVED not in row[-1]
    ]


def is_test(node_id: str) -> bool:
    """Return whether a node id names a test or the stem of a parameterized one."""
    path, class_name, name = node_id.split("::")
    if not (ROOT / path).exists():
        return False
    module = importlib.import_module(path.removesuffix(".py").replace("/", "."))
    test_class = getattr(module, class_name, None)
    if not isinstance(test_class, type) or not issubclass(
        test_class, unittest.TestCase
    ):
        return False
    name_pattern = re.compile(rf"{re.escape(name)}(_\d+(_\w*)?)?")
    return name.startswith(("test_", "runTest")) and any(
        name_pattern.fullmatch(attribute) for attribute in dir(test_class)
    )


THIS_CLASS = "tests/cover/test_proof_page.py::ProofPageTest::"


class ProofPageTest(TestCase):
    def test_every_named_test_exists(self) -> None:
        self.assertEqual([], missing_tests(PAGE.read_text(encoding="utf-8")))

    def test_every_row_names_a_test_or_says_not_proved(self) -> None:
        self.assertEqual([], rows_without_proof(PAGE.read_text(encoding="utf-8")))

    def test_every_promise_has_rows(self) -> None:
        rows = table_rows(PAGE.read_text(encoding="utf-8"))
        numbers = {row[0] for row in rows}
        expected = {str(number) for number in range(1, PROMISE_COUNT + 1)}
        self.assertEqual(expected, numbers & expected)

    @parameterized.expand(
        [
            ("file", "tests/cover/test_nothing.py::A::test_a"),
            ("class", "tests/cover/test_proof_page.py::Nothing::test_a"),
            ("method", THIS_CLASS + "test_nothing"),
            ("part_of_a_name", THIS_CLASS + "test_every"),
            ("helper", THIS_CLASS + "setUp"),
            ("function", "tests/cover/test_proof_page.py::is_test::test_a"),
        ]
    )
    def test_a_name_that_is_no_test_is_reported(self, _name: str, node_id: str) -> None:
        self.assertEqual([node_id], missing_tests(f"| 1 | a | b | `{node_id}` |"))

    @parameterized.expand(
        [
            ("plain", THIS_CLASS + "test_every_named_test_exists"),
            ("stem", THIS_CLASS + "test_a_name_that_is_a_test_is_accepted"),
            ("whole", THIS_CLASS + "test_a_name_that_is_a_test_is_accepted_1_stem"),
        ]
    )
    def test_a_name_that_is_a_test_is_accepted(self, _name: str, node_id: str) -> None:
        self.assertEqual([], missing_tests(f"| 1 | a | b | `{node_id}` |"))

    def test_a_row_without_proof_is_reported(self) -> None:
        page = "| a | b |\n| - | - |\n| 1 | yes |\n| 2 | not proved |\n"
        self.assertEqual([["1", "yes"]], rows_without_proof(page))
