"""Test the platform's settings file: its fields and the error for an invalid value."""

import os
import tempfile
from pathlib import Path
from unittest import mock

from parameterized import parameterized
from testtools import TestCase

from turmericusher.errors import SettingsError
from turmericusher.platform.names import SETTINGS_VARIABLE
from turmericusher.platform.settings import (
    load_node_settings,
    parse_node_settings,
    settings_path,
)

LINES = {
    "node_name": "front-1",
    "ip_address": "10.1.0.19",
    "zone": "quai-nord",
    "listen_addresses.frontend": "10.1.0.19:8740",
    "listen_addresses.readiness": "10.1.0.19:8749",
    "listen_addresses.directory": "10.1.0.19:8746",
    "bounds.grace_s": "8",
    "bounds.configuration_apply_ms": "3000",
    "platform.address": "10.200.1.7:8742",
    "a.field.of.tomorrow": "1,2",
}


def text(**changes: str | None) -> str:
    lines = LINES | changes
    return "".join(f"{name}={value}\n" for name, value in lines.items() if value)


class NodeSettingsTest(TestCase):
    def test_a_whole_file_is_read_and_unknown_fields_are_passed_over(self):
        found = parse_node_settings(text())
        self.assertEqual("front-1", found.name)
        self.assertEqual("quai-nord", found.failure_domain)
        self.assertEqual("10.1.0.19:8740", found.caller_address)
        self.assertEqual("10.200.1.7:8742", found.store_address)
        self.assertEqual(8.0, found.stop_limit_s)
        self.assertEqual(3.0, found.configuration_limit_s)

    def test_an_instance_that_serves_no_entry_points_needs_no_address_for_them(self):
        found = parse_node_settings(text(**{"listen_addresses.directory": None}))
        self.assertIsNone(found.directory_address)

    @parameterized.expand(
        [
            ("a missing field", {"platform.address": None}, "platform"),
            (
                "text in place of a number",
                {"bounds.grace_s": "soon"},
                "bounds.grace_s='soon'",
            ),
            (
                "a host name in place of an IP address",
                {"platform.address": "store:1"},
                "platform.address='store:1'",
            ),
            ("a duration of zero", {"bounds.grace_s": "0"}, "bounds.grace_s='0'"),
            ("a name with a value and with fields", {"zone.x": "1"}, "zone"),
        ]
    )
    def test_a_bad_value_is_named(self, _, changes, expected):
        error = self.assertRaises(SettingsError, parse_node_settings, text(**changes))
        self.assertIn(expected, error.message)

    def test_a_line_without_a_value_is_named(self):
        error = self.assertRaises(SettingsError, parse_node_settings, "what is this\n")
        self.assertIn("line 1='what is this'", error.message)

    def test_a_missing_file_is_named(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "missing"
            error = self.assertRaises(SettingsError, load_node_settings, path)
        self.assertIn(repr(str(path)), error.message)

    def test_a_missing_variable_is_named(self):
        with mock.patch.dict(os.environ, clear=True):
            error = self.assertRaises(SettingsError, settings_path)
        self.assertIn(SETTINGS_VARIABLE, error.message)
