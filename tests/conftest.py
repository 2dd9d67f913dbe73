"""Test configuration: deterministic property tests and the list of known failures."""

from hypothesis import HealthCheck, settings

from tests.common.known_red import pytest_configure

__all__ = ["pytest_configure"]

settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile("ci")
