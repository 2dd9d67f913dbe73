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
RULE = re.compile(r"^[\s|:-]+$")
NOT_PROVED = "not proved"
PROMISES = 8


def table_rows(page: str) -> list[list[str]]:
    """Return the cells of each row of the page's tables, without the heading rows."""
    rows = []
    lines = page.splitlines()
    for line, following in zip(lines, [*lines[1:], ""], strict=True):
        if ROW.match(line) and not RULE.match(line) and not RULE.match(following):
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


def is_test(node: str) -> bool:
    """Return whether a node id names a test or the stem of a parameterized one."""
    path, class_name, name = node.split("::")
    if not (ROOT / path).exists():
        return False
    module = importlib.import_module(path.removesuffix(".py").replace("/", "."))
    case = getattr(module, class_name, None)
    if not isinstance(case, type) or not issubclass(case, unittest.TestCase):
        return False
    expanded = re.compile(rf"{re.escape(name)}(_\d+(_\w*)?)?")
    return name.startswith(("test_", "runTest")) and any(
        expanded.fullmatch(attribute) for attribute in dir(case)
    )


THIS = "tests/cover/test_proof_page.py::ProofPageTest::"


class ProofPageTest(TestCase):
    def test_every_named_test_exists(self) -> None:
        self.assertEqual([], missing_tests(PAGE.read_text(encoding="utf-8")))

    def test_every_row_names_a_test_or_says_that_none_does(self) -> None:
        self.assertEqual([], rows_without_proof(PAGE.read_text(encoding="utf-8")))

    def test_every_promise_has_rows(self) -> None:
        rows = table_rows(PAGE.read_text(encoding="utf-8"))
        numbers = {row[0] for row in rows}
        expected = {str(number) for number in range(1, PROMISES + 1)}
        self.assertEqual(expected, numbers & expected)

    @parameterized.expand(
        [
            ("file", "tests/cover/test_nothing.py::A::test_a"),
            ("class", "tests/cover/test_proof_page.py::Nothing::test_a"),
            ("method", THIS + "test_nothing"),
            ("part_of_a_name", THIS + "test_every"),
            ("helper", THIS + "setUp"),
            ("function", "tests/cover/test_proof_page.py::is_test::test_a"),
        ]
    )
    def test_a_name_that_is_no_test_is_found(self, _name: str, node: str) -> None:
        self.assertEqual([node], missing_tests(f"| 1 | a | b | `{node}` |"))

    @parameterized.expand(
        [
            ("plain", THIS + "test_every_named_test_exists"),
            ("stem", THIS + "test_a_name_that_is_a_test_is_accepted"),
            ("whole", THIS + "test_a_name_that_is_a_test_is_accepted_1_stem"),
        ]
    )
    def test_a_name_that_is_a_test_is_accepted(self, _name: str, node: str) -> None:
        self.assertEqual([], missing_tests(f"| 1 | a | b | `{node}` |"))

    def test_a_row_without_proof_is_found(self) -> None:
        page = "| a | b |\n| - | - |\n| 1 | yes |\n| 2 | not proved |\n"
        self.assertEqual([["1", "yes"]], rows_without_proof(page))
