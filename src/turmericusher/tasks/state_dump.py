"""The state dump: what each part of an entry instance holds, as plain values."""

from __future__ import annotations

import time
from dataclasses import asdict

from turmericusher.tasks.instance import EntryRuntime


def state_of_runtime(runtime: EntryRuntime) -> dict[str, object]:
    """Return the state of an entry instance as JSON values."""
    settings = runtime.settings
    return {
        "instance": {
            "name": settings.name,
            "failure_domain": settings.failure_domain,
            "incarnation": runtime.incarnation,
            "uptime_s": time.monotonic() - runtime.started_at,
            "generations_in_flight": runtime.generations_in_flight,
        },
        "upstreams": {
            name: {
                **asdict(upstream),
                "in_flight": runtime.selector.in_flight.get(name, 0),
            }
            for name, upstream in runtime.selector.upstreams.items()
        },
        "admission": runtime.admission.dump(),
        "metrics": runtime.metrics.snapshot(),
    }
