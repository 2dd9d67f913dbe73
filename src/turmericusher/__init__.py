"""turmericusher serves long model generations to completion on engines that fail."""

from turmericusher.errors import ErrorCode, SettingsError, TurmericusherError, Verdict
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
