"""Runs one instance on the platform without importing the command line's libraries."""

from __future__ import annotations

import sys

import uvloop

from turmericusher.errors import SettingsError
from turmericusher.log_queue import bounded_logs
from turmericusher.logs import log_event
from turmericusher.platform.node import serve_node
from turmericusher.platform.settings import settings_path

EXIT_USAGE = 2


def main() -> int:
    """Serve until a signal to stop arrives; return the process's exit status."""
    with bounded_logs(sys.stdout):
        try:
            uvloop.run(serve_node(settings_path()))
        except SettingsError as error:
            log_event("settings_refused", message=error.message)
            return EXIT_USAGE
    return 0


sys.exit(main())
