"""The port to upstreams that take orders, and its adapter for plain JSON over HTTP.

`GET /v1/state` answers `{"ready", "actual", "target"}`; `PUT /v1/order` takes
`{"wanted"}`. `actual`, `target` and `wanted` are objects with `model`, `version`,
`adapters` and `role`. Both requests carry the header `Fencing-Number`; an upstream that
checks it answers 409 to a number below the highest that it has seen. An upstream that
takes an order stops accepting work, ends what it runs, and then changes.
"""

from __future__ import annotations

from typing import Protocol

import aiohttp
from pydantic import BaseModel, ConfigDict, TypeAdapter, ValidationError

from turmericusher.decisions.fleet import UpstreamInstance
from turmericusher.decisions.orders import (
    LONGEST_SEND_S,
    EndState,
    Order,
    UpstreamState,
)

STATE_TIMEOUT_S = 1.0
MAX_STATE_BYTES = 65_536
STATUS_OK = 200
STATUS_CONFLICT = 409
FENCING_HEADER = "Fencing-Number"
END_STATE = TypeAdapter(EndState)


class StaleFencingError(Exception):
    """An upstream has seen a newer fencing number: the order had no effect."""


class OrderPort(Protocol):
    """Reads upstreams' states and sends them orders."""

    async def read_state(
        self, upstream: UpstreamInstance, fencing: int
    ) -> UpstreamState:
        """Return an upstream's state; one without an answer is unreachable.

        An upstream that checks fencing numbers refuses lower ones from then on.
        """
        ...

    async def send(self, upstream: UpstreamInstance, order: Order) -> bool:
        """Send an order; return whether the upstream replied.

        A lost reply is no error, for the state is read back.

        Raises `StaleFencingError`.
        """
        ...


class StateModel(BaseModel):
    """An upstream's answer."""

    model_config = ConfigDict(frozen=True)

    ready: bool
    actual: EndState
    target: EndState | None = None


class HttpOrderPort:
    """The adapter over a shared `aiohttp` session."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self.session = session

    async def read_state(
        self, upstream: UpstreamInstance, fencing: int
    ) -> UpstreamState:
        """Return an upstream's state; one without an answer is unreachable."""
        unreachable = UpstreamState(
            upstream.name, upstream.failure_domain, is_reachable=False, is_ready=False
        )
        try:
            async with self.session.get(
                f"http://{upstream.address}/v1/state",
                headers={FENCING_HEADER: str(fencing)},
                timeout=aiohttp.ClientTimeout(total=STATE_TIMEOUT_S),
            ) as answer:
                check_fencing_answer(answer.status)
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
        """Send an order within the longest send."""
        try:
            async with self.session.put(
                f"http://{upstream.address}/v1/order",
                headers={FENCING_HEADER: str(order.fencing)},
                json={"wanted": END_STATE.dump_python(order.wanted, mode="json")},
                timeout=aiohttp.ClientTimeout(total=LONGEST_SEND_S),
            ) as answer:
                check_fencing_answer(answer.status)
                return True
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False


def check_fencing_answer(status: int) -> None:
    """Raise `StaleFencingError` for the answer to an old number."""
    if status == STATUS_CONFLICT:
        raise StaleFencingError
