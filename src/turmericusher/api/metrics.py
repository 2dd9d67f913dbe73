"""HTTP application that exports metrics as text and a dump of the process's state."""

from __future__ import annotations

import json
from collections.abc import Callable

from turmericusher.asgi import ASGIApp, Page, pages_app
from turmericusher.metrics import Metrics, render_prometheus

METRICS_PATH = "/metrics"
STATE_PATH = "/state"


def metrics_app(
    metrics: Metrics,
    refresh_gauges: Callable[[], None] | None = None,
    state: Callable[[], object] | None = None,
) -> ASGIApp:
    """Return the application that serves the metrics and, if given, a state dump.

    `refresh_gauges` is called before each export. `state` returns the state as JSON
    values; without it, the route of the dump does not exist.
    """

    def metrics_page() -> Page:
        if refresh_gauges is not None:
            refresh_gauges()
        return Page(render_prometheus(metrics).encode())

    pages = {METRICS_PATH: metrics_page}
    if state is not None:
        pages[STATE_PATH] = lambda: json_page(state())
    return pages_app(pages)


def json_page(value: object) -> Page:
    """Return a page with JSON values."""
    return Page(json.dumps(value).encode(), content_type="application/json")
