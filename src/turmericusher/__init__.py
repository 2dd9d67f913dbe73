"""turmericusher serves long model generations to completion on engines that fail."""

from __future__ import annotations

from importlib import import_module
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from turmericusher.errors import (
        ErrorCode,
        SettingsError,
        TurmericusherError,
        Verdict,
    )
    from turmericusher.profiles import Profile
    from turmericusher.settings import Settings, load_settings

__all__ = [
    "ErrorCode",
    "Profile",
    "Settings",
    "SettingsError",
    "TurmericusherError",
    "Verdict",
    "load_settings",
]

MODULES = {
    "ErrorCode": "errors",
    "Profile": "profiles",
    "Settings": "settings",
    "SettingsError": "errors",
    "TurmericusherError": "errors",
    "Verdict": "errors",
    "load_settings": "settings",
}
"""The module of each public name. They are loaded at first use: an instance on the
platform needs few of them, and its callers wait while it starts."""


def __getattr__(name: str) -> object:
    """Load a public name at its first use (PEP 562)."""
    module = MODULES.get(name)
    if module is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(f"{__name__}.{module}"), name)
