"""What all formats of settings share: reading the file, and addresses."""

from __future__ import annotations

import ipaddress
from pathlib import Path

from turmericusher.errors import SettingsError

MAX_PORT = 65_535
NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$"
"""Names of instances and failure domains."""


def read_settings_file(path: Path) -> str:
    """Return the text of a settings file; raise `SettingsError` that names the file."""
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(
            f"cannot read settings file {str(path)!r}: {error}"
        ) from error


def check_address(value: str) -> str:
    """Accept `ip:port`; host names are refused: instances connect by IP address."""
    host, separator, port = value.rpartition(":")
    if not separator or not port.isdigit() or not 0 <= int(port) <= MAX_PORT:
        raise ValueError("write it as IP:PORT, for example 127.0.0.1:8080")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        raise ValueError("use an IP address, not a host name") from None
    return value
