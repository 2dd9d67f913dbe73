"""Runs one instance on the platform without importing the command line's libraries."""

from __future__ import annotations

import gc
import os
import sys

# Nothing that is made while modules load is garbage soon.
gc.disable()
# Loading aiohttp reads the system's certificates. Connections here have no TLS.
os.environ["SSL_CERT_FILE"] = os.devnull

from turmericusher.platform.early_listener import open_early_listener  # noqa: E402

LISTENER = open_early_listener() if __name__ == "__main__" else None

import uvloop  # noqa: E402

from turmericusher.errors import SettingsError  # noqa: E402
from turmericusher.log_queue import bounded_logs  # noqa: E402
from turmericusher.logs import log_event  # noqa: E402
from turmericusher.platform.node import serve_node  # noqa: E402
from turmericusher.platform.settings import settings_path  # noqa: E402

EXIT_USAGE = 2


def main() -> int:
    """Serve until a signal to stop arrives; return the process's exit status."""
    gc.freeze()
    gc.enable()
    with bounded_logs(sys.stdout, is_direct=True):
        try:
            uvloop.run(serve_node(settings_path(), LISTENER))
        except SettingsError as error:
            log_event("settings_refused", message=error.message)
            return EXIT_USAGE
    return 0


if __name__ == "__main__":
    sys.exit(main())
