"""Listens for callers before the rest of an instance is loaded.

Load: all instances end at once. Callers that return while they start would find no
connection anywhere, and few of them try again. Their connections wait in the backlog
instead, for a fraction of a second.
"""

from __future__ import annotations

import os
import socket

from turmericusher.listeners import open_listener
from turmericusher.platform.names import SETTINGS_VARIABLE

ADDRESS_LINE = "listen_addresses.frontend="


def open_early_listener() -> socket.socket | None:
    """Return a socket that listens at the address for callers, or None without one.

    Whatever is wrong with the settings is reported when they are validated.
    """
    try:
        with open(os.environ[SETTINGS_VARIABLE], encoding="utf-8") as file:  # noqa: PTH123
            lines = [line.strip() for line in file]
        addresses = [
            line.removeprefix(ADDRESS_LINE)
            for line in lines
            if line.startswith(ADDRESS_LINE)
        ]
        return open_listener(addresses[-1])
    except (KeyError, IndexError, OSError, ValueError):
        return None
