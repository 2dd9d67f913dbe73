"""The port to the platform's weight store, which limits the rate of loads.

`POST /loads` with `{"weights": NAME}` answers 200 if a load may begin, or 429 with
`Retry-After` in seconds. The upstreams themselves read the weights.
"""

from __future__ import annotations

from typing import Protocol

import aiohttp

REQUEST_TIMEOUT_S = 2.0
STATUS_OK = 200
STATUS_TOO_MANY_REQUESTS = 429
DEFAULT_RETRY_AFTER_S = 5.0
MAX_RETRY_AFTER_S = 60.0


class WeightStore(Protocol):
    """Permits upstreams to load weights."""

    async def request_load(self, weights: str) -> float:
        """Return 0 if a load may begin now, or the seconds after which to retry.

        A store that cannot be reached counts as busy.
        """
        ...


class HttpWeightStore:
    """A `WeightStore` over a shared `aiohttp` session."""

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self.session = session
        self.url = url.rstrip("/")

    async def request_load(self, weights: str) -> float:
        """Request one load; return 0 or the seconds after which to retry."""
        try:
            async with self.session.post(
                f"{self.url}/loads",
                json={"weights": weights},
                timeout=aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S),
            ) as answer:
                if answer.status == STATUS_OK:
                    return 0.0
                return parse_retry_after(answer.headers.get("Retry-After", ""))
        except (aiohttp.ClientError, TimeoutError, OSError):
            return DEFAULT_RETRY_AFTER_S


class UnlimitedWeightStore:
    """Permits every load; for a platform without a weight store."""

    async def request_load(self, weights: str) -> float:
        """Return 0: the load may begin now."""
        return 0.0


def parse_retry_after(text: str) -> float:
    """Return the seconds of a Retry-After header, bounded; for a date, the default."""
    if not text.isascii() or not text.isdigit():
        return DEFAULT_RETRY_AFTER_S
    return min(MAX_RETRY_AFTER_S, max(1.0, float(text[:9])))
