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

VALID_FIELDS = {
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
    fields = VALID_FIELDS | changes
    return "".join(f"{name}={value}\n" for name, value in fields.items() if value)


class NodeSettingsTest(TestCase):
    def test_a_valid_file_is_parsed_and_unknown_fields_are_ignored(self):
        node_settings = parse_node_settings(text())
        self.assertEqual("front-1", node_settings.name)
        self.assertEqual("quai-nord", node_settings.failure_domain)
        self.assertEqual("10.1.0.19:8740", node_settings.caller_address)
        self.assertEqual("10.200.1.7:8742", node_settings.store_address)
        self.assertEqual(8.0, node_settings.stop_limit_s)
        self.assertEqual(3.0, node_settings.configuration_limit_s)

    def test_the_directory_address_is_optional(self):
        node_settings = parse_node_settings(
            text(**{"listen_addresses.directory": None})
        )
        self.assertIsNone(node_settings.directory_address)

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
    def test_the_error_names_an_invalid_value(self, _, changes, expected):
        error = self.assertRaises(SettingsError, parse_node_settings, text(**changes))
        self.assertIn(expected, error.message)

    def test_the_error_names_a_line_without_a_value(self):
        error = self.assertRaises(SettingsError, parse_node_settings, "what is this\n")
        self.assertIn("line 1='what is this'", error.message)

    def test_the_error_names_a_missing_file(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "missing"
            error = self.assertRaises(SettingsError, load_node_settings, path)
        self.assertIn(repr(str(path)), error.message)

    def test_the_error_names_a_missing_environment_variable(self):
        with mock.patch.dict(os.environ, clear=True):
            error = self.assertRaises(SettingsError, settings_path)
        self.assertIn(SETTINGS_VARIABLE, error.message)
