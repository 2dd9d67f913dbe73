"""ASGI applications for readiness checks and for the list of entry points."""

from __future__ import annotations

import random
from collections.abc import Callable

import msgspec

from turmericusher.asgi import ASGIApp, Page, pages_app
from turmericusher.decisions.entry_load.answers import choose_listed
from turmericusher.decisions.fleet import EntryInstance
from turmericusher.platform.names import ENTRYPOINTS_PATH, READINESS_PATH

MAX_ADDRESSES = 64
"""The most addresses that a caller reads from one response."""

UNAVAILABLE = Page(status=503)


def readiness_app(is_ready: Callable[[], bool]) -> ASGIApp:
    """Return an application that answers 200 while `is_ready()`, and 503 otherwise."""
    return pages_app({READINESS_PATH: lambda: Page() if is_ready() else UNAVAILABLE})


def entrypoints_app(
    instances: Callable[[], list[EntryInstance]], ttl_s: float, rng: random.Random
) -> ASGIApp:
    """Return an application that lists the addresses to which callers may connect.

    The list is in random order; instances with a smaller share of callers are left out
    of a part of the answers. `ttl_s` is the number of seconds for which callers may
    cache it.
    """

    def entrypoints() -> Page:
        listed = choose_listed(instances(), MAX_ADDRESSES, rng)
        if not listed:
            return UNAVAILABLE
        addresses = [instance.caller_address for instance in listed]
        body = {"addresses": addresses, "expiry_s": ttl_s}
        return Page(msgspec.json.encode(body), content_type="application/json")

    return pages_app({ENTRYPOINTS_PATH: entrypoints})
