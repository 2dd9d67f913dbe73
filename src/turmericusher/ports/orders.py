"""The port to upstreams that accept orders, and its adapter for JSON over HTTP.

`GET /v1/state` answers `{"ready", "actual", "target"}`; `PUT /v1/order` accepts
`{"wanted"}`. `actual`, `target` and `wanted` are objects with `model`, `version`,
`adapters` and `role`. Both requests carry the header `Fencing-Number`; an upstream that
checks it answers 409 to a number lower than the highest it has seen. An upstream that
accepts an order stops accepting work, finishes the work in progress, and then changes.
"""

from __future__ import annotations

from typing import Protocol

import aiohttp
from pydantic import BaseModel, ConfigDict, TypeAdapter, ValidationError

from turmericusher.decisions.fleet import UpstreamInstance
from turmericusher.decisions.orders import (
    SEND_TIMEOUT_S,
    Order,
    UpstreamSpec,
    UpstreamState,
)

STATE_TIMEOUT_S = 1.0
MAX_STATE_BYTES = 65_536
STATUS_OK = 200
STATUS_CONFLICT = 409
FENCING_HEADER = "Fencing-Number"
END_STATE_ADAPTER = TypeAdapter(UpstreamSpec)


class StaleFencingError(Exception):
    """An upstream has seen a higher fencing number, so the request had no effect."""


class OrderPort(Protocol):
    """Reads the states of upstreams and sends orders to them."""

    async def read_state(
        self, upstream: UpstreamInstance, fencing: int
    ) -> UpstreamState:
        """Return an upstream's state; without a valid answer it is unreachable.

        An upstream that checks fencing numbers refuses lower ones from then on.

        Raises `StaleFencingError`.
        """
        ...

    async def send(self, upstream: UpstreamInstance, order: Order) -> bool:
        """Send an order; return whether the upstream replied.

        A lost reply is not an error, because the state is read back.

        Raises `StaleFencingError`.
        """
        ...


class StateModel(BaseModel):
    """The body of the answer to `GET /v1/state`."""

    model_config = ConfigDict(frozen=True)

    ready: bool
    actual: UpstreamSpec
    target: UpstreamSpec | None = None


class HttpOrderPort:
    """An `OrderPort` over a shared `aiohttp` session."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self.session = session

    async def read_state(
        self, upstream: UpstreamInstance, fencing: int
    ) -> UpstreamState:
        """Return an upstream's state; without a valid answer it is unreachable."""
        unreachable = UpstreamState(
            upstream.name, upstream.failure_domain, is_reachable=False, is_ready=False
        )
        try:
            async with self.session.get(
                f"http://{upstream.address}/v1/state",
                headers={FENCING_HEADER: str(fencing)},
                timeout=aiohttp.ClientTimeout(total=STATE_TIMEOUT_S),
            ) as answer:
                check_fencing_status(answer.status)
                if answer.status != STATUS_OK:
                    return unreachable
                data = await answer.content.read(MAX_STATE_BYTES)
            state = StateModel.model_validate_json(data)
        except (aiohttp.ClientError, TimeoutError, OSError, ValidationError):
            return unreachable
        return UpstreamState(
            name=upstream.name,
            failure_domain=upstream.failure_domain,
            is_ready=state.ready,
            actual=state.actual,
            target=state.target,
        )

    async def send(self, upstream: UpstreamInstance, order: Order) -> bool:
        """Send an order within `SEND_TIMEOUT_S`; return whether a reply came."""
        try:
            async with self.session.put(
                f"http://{upstream.address}/v1/order",
                headers={FENCING_HEADER: str(order.fencing)},
                json={
                    "wanted": END_STATE_ADAPTER.dump_python(order.wanted, mode="json")
                },
                timeout=aiohttp.ClientTimeout(total=SEND_TIMEOUT_S),
            ) as answer:
                check_fencing_status(answer.status)
                return True
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False


def check_fencing_status(status: int) -> None:
    """Raise `StaleFencingError` if an upstream refused the fencing number."""
    if status == STATUS_CONFLICT:
        raise StaleFencingError
