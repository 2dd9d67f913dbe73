"""Test that invalid settings and profiles are refused with a one-line error."""

from pathlib import Path

import yaml
from parameterized import parameterized
from testtools import ExpectedException, TestCase

from turmericusher.errors import RequestRefusedError, SettingsError
from turmericusher.profile_models import profile_from_mapping
from turmericusher.settings import load_settings, parse_settings

VALID_SETTINGS = """
instance:
  name: entry-1
  failure_domain: quai-nord
  caller_address: 127.0.0.1:8080
  peer_address: 127.0.0.1:9080
store:
  url: http://127.0.0.1:2379
instance_list_url: http://127.0.0.1:7000/instances
services:
  - {name: redacteur, kind: engine, models: [lot-summaries]}
operators:
  token: secret-token
"""


class SettingsTest(TestCase):
    def test_a_valid_file_is_parsed(self) -> None:
        settings = parse_settings(VALID_SETTINGS)
        self.assertEqual("entry-1", settings.name)
        self.assertEqual(("lot-summaries",), settings.services[0].models)

    def test_instances_with_the_same_seed_draw_different_numbers(self) -> None:
        other = parse_settings(VALID_SETTINGS.replace("entry-1", "entry-2"))
        draws = [
            s.random_for("a").random() for s in (parse_settings(VALID_SETTINGS), other)
        ]
        self.assertNotEqual(*draws)
        self.assertEqual(
            draws[0], parse_settings(VALID_SETTINGS).random_for("a").random()
        )

    @parameterized.expand(
        [
            ("unknown_key", VALID_SETTINGS + "colour: red\n", "colour='red'"),
            (
                "name_for_address",
                VALID_SETTINGS.replace("127.0.0.1:8080", "host:1"),
                "host:1",
            ),
            ("bad_port", VALID_SETTINGS.replace(":8080", ":99999"), "99999"),
            ("not_yaml", "{", "not valid YAML"),
            ("not_a_mapping", "[]", "settings="),
            (
                "short_token",
                VALID_SETTINGS.replace("secret-token", "x"),
                "operators.token='x'",
            ),
            (
                "model_twice",
                VALID_SETTINGS.replace(
                    "operators:",
                    "  - {name: b, kind: engine, models: [lot-summaries]}\noperators:",
                ),
                "model='lot-summaries'",
            ),
        ]
    )
    def test_the_error_for_an_invalid_file_names_the_value(
        self, _name: str, text: str, expected: str
    ) -> None:
        error = self.assertRaises(SettingsError, parse_settings, text)
        self.assertIn(expected, error.message)
        self.assertNotIn("\n", error.message)


class ProfileTest(TestCase):
    @parameterized.expand(
        [
            ("floor_above_cap", {"name": "a", "stall_floor_s": 5, "stall_cap_s": 1}),
            ("bad_name", {"name": "A b"}),
            ("unknown_field", {"name": "a", "colour": 1}),
            ("not_a_mapping", 3),
        ]
    )
    def test_an_invalid_profile_is_refused(self, _name: str, mapping: object) -> None:
        with ExpectedException(RequestRefusedError):
            profile_from_mapping(mapping)


EXAMPLES = Path(__file__).parents[2] / "examples"


class ExamplesTest(TestCase):
    @parameterized.expand([("leguevel",), ("kitamura",)])
    def test_an_example_is_valid(self, name: str) -> None:
        settings = load_settings(EXAMPLES / f"{name}.yaml")
        mappings = yaml.safe_load((EXAMPLES / "profiles" / f"{name}.yaml").read_text())
        names = {profile_from_mapping(mapping).name for mapping in mappings}
        self.assertLessEqual({s.default_profile for s in settings.services}, names)
