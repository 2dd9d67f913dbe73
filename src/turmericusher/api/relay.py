"""The relay's HTTP interface: forwards any caller's request along its route.

A codec encodes and decodes the headers, so this module is independent of their names.
"""

from __future__ import annotations

import asyncio
import random
import sys
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from typing import Protocol

from turmericusher.api.statuses import STATUS_BY_CODE
from turmericusher.asgi import (
    CallerGoneError,
    Receive,
    Scope,
    Send,
    body_parts,
    read_body,
)
from turmericusher.decisions.generation_messages import Fail
from turmericusher.decisions.prompts.completion import Completion
from turmericusher.decisions.relay import Relay
from turmericusher.decisions.relay_messages import (
    BreakStream,
    DeliverAnswer,
    DeliverEvents,
    EndStream,
    Headers,
    RelayedRequest,
    RelayOutput,
)
from turmericusher.decisions.relay_stop import OTHER_INSTANCE_RETRY_S, RelayStop
from turmericusher.decisions.routing import (
    NO_CONFIGURATION_RETRY_S,
    NewestTable,
    RoutedRequest,
)
from turmericusher.errors import ErrorCode, RequestRefusedError, Verdict
from turmericusher.logs import log_event
from turmericusher.metrics import Metrics
from turmericusher.tasks.relay import RelayContext, open_relay

PERMANENT_ERROR_CODES = frozenset(
    {
        ErrorCode.UNKNOWN_ROUTE,
        ErrorCode.UNAUTHORIZED,
        ErrorCode.REQUEST_TOO_LARGE,
        ErrorCode.INVALID_REQUEST,
    }
)
"""Codes of errors that the same request would get again.

They keep their status in `STATUS_BY_CODE`; other errors get one of those below.
"""

MESSAGE_OVERHEAD_BYTES = 80
"""Estimated bytes that the network adds to a message: a frame, IP and TCP headers, and
the frame of a chunk."""

STATUS_NOT_RUN = 503
STATUS_UPSTREAM_FAILED = 502
STATUS_TIMED_OUT = 504


class RelayCodec(Protocol):
    """Translates between HTTP headers and the relay's types."""

    def decode(self, scope: Scope, body: bytes, arrived_at: float) -> RelayedRequest:
        """Return the request; raise `RequestRefusedError` if it is malformed."""
        ...

    def encode_headers(self, headers: Headers) -> list[tuple[bytes, bytes]]:
        """Return an upstream's response headers as they are sent to the caller."""
        ...

    def encode_failure(
        self, scope: Scope, retry_after_s: float | None
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers of an error that the relay itself produces."""
        ...


@dataclass(slots=True)
class RelayFrontend:
    """An ASGI application that relays callers' requests.

    `tables` holds the routing table in force. `in_flight` counts requests from the
    receipt of their headers to the last byte of their response, and `idle` is set while
    there are none. `relayed_bytes` counts what was sent to callers and received from
    them, which is also what passes in each direction of the machine's link; what the
    network adds to each message is estimated.

    `stop` decides which requests are still accepted while the instance is stopping: it
    refuses streams that would probably not end in time. Every response then closes its
    connection.
    """

    context: RelayContext
    tables: NewestTable
    codec: RelayCodec
    metrics: Metrics
    random: random.Random
    stop: RelayStop
    in_flight: int = 0
    relayed_bytes: int = 0
    idle: asyncio.Event = field(default_factory=asyncio.Event)
    clock: Callable[[], float] = field(
        default=lambda: asyncio.get_running_loop().time()
    )

    def __post_init__(self) -> None:
        """Set `idle`, as no request is in flight yet."""
        self.idle.set()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one request and keep `in_flight` and `idle` up to date."""
        if scope["type"] != "http":
            return
        self.in_flight += 1
        self.idle.clear()
        exchange = Exchange(self, scope, receive, send, self.clock())
        try:
            await exchange.run()
        except Exception as error:
            # The server answers 500 or closes the connection, and logs nothing.
            log_event(
                "request_error", id=exchange.request_id or None, error=repr(error)
            )
            raise
        finally:
            self.in_flight -= 1
            if not self.in_flight:
                self.idle.set()


@dataclass(slots=True)
class Exchange:
    """One request and its response; times are in seconds of the frontend's clock.

    `request_id` is empty until the request is decoded, `route` until it is accepted.
    """

    frontend: RelayFrontend
    scope: Scope
    receive: Receive
    send: Send
    arrived_at: float
    request_id: str = ""
    route: str = ""
    first_event_at: float | None = None
    last_event_at: float | None = None
    longest_gap_s: float = 0.0

    async def run(self) -> None:
        """Read, route and relay the request, or answer with an error."""
        try:
            body = await read_body(body_parts(self.receive), self.body_limit_bytes())
            self.frontend.relayed_bytes += len(body) + MESSAGE_OVERHEAD_BYTES
            request = self.frontend.codec.decode(self.scope, body, self.arrived_at)
            request = self.without_false_hop(request)
            self.request_id = request.request_id
            self.check_configuration(request)
            routed = self.frontend.tables.current().admit(
                request.host, request.path, request.key, self.frontend.random
            )
            self.check_accepting(routed)
        except CallerGoneError:
            return
        except RequestRefusedError as error:
            await self.send_error(
                Fail(error.code, error.verdict, error.message, error.retry_after_s)
            )
            return
        self.route = routed.route.name
        hops = self.frontend.context.hops
        async with (
            cancel_on_disconnect(self.receive),
            hops.serving(request, routed.route.kind),
        ):
            await self.relay(request, routed)

    def without_false_hop(self, request: RelayedRequest) -> RelayedRequest:
        """Return the request, without a hop if no other instance has sent it here."""
        own = self.frontend.context.shared.forwarding.incarnation
        if request.hop is None or (own and request.hop.receiver == own):
            return request
        return replace(request, hop=None)

    def check_configuration(self, request: RelayedRequest) -> None:
        """Raise `RequestRefusedError` if the sender of a hop has another configuration.

        The sender would otherwise handle its requests by a newer and an older one in
        turn, of which the newer one must stay in force.
        """
        version = self.frontend.tables.current().version
        if request.hop is not None and request.hop.configuration != version:
            raise RequestRefusedError(
                ErrorCode.NO_CONFIGURATION,
                f"this instance has configuration={version} and not the "
                f"{request.hop.configuration} of instance={request.hop.sender!r}",
                retry_after_s=NO_CONFIGURATION_RETRY_S,
            )

    def check_accepting(self, routed: RoutedRequest) -> None:
        """Raise `RequestRefusedError` if the request might not end before the stop."""
        kind = routed.route.kind
        if not self.frontend.stop.can_accept(kind, self.frontend.clock()):
            raise RequestRefusedError(
                ErrorCode.INSTANCE_STOPPING,
                "this instance is stopping and accepts no request of "
                f"kind={kind.value!r}; use another one",
                retry_after_s=OTHER_INSTANCE_RETRY_S,
            )

    def body_limit_bytes(self) -> int:
        """Return the size limit of a request body in bytes.

        There is no limit while no routing table has been read.
        """
        table = self.frontend.tables.table
        return table.limits.max_body_bytes if table is not None else sys.maxsize

    async def relay(self, request: RelayedRequest, routed: RoutedRequest) -> None:
        """Send the request upstream and its outputs to the caller; log the outcome."""
        context = self.frontend.context
        outcome = "caller_gone"
        async with open_relay(context, request, routed) as owner:
            try:
                async for output in owner.outputs():
                    outcome = await self.send_output(output)
            finally:
                self.log_outcome(owner.relay, outcome)

    async def send_output(self, output: RelayOutput) -> str:
        """Send one output to the caller and return the request's outcome so far."""
        match output:
            case DeliverEvents(payload, headers):
                self.record_event_gap()
                if headers is not None:
                    self.first_event_at = self.frontend.clock()
                    await self.send_head(
                        200, self.frontend.codec.encode_headers(headers)
                    )
                await self.write(payload, more=True)
                return "streaming"
            case DeliverAnswer(answer):
                length = (b"content-length", str(len(answer.body)).encode())
                head = self.frontend.codec.encode_headers(answer.headers)
                await self.send_head(answer.status, [*head, length])
                await self.write(answer.body, more=False)
                return f"answered_{answer.status}"
            case EndStream():
                self.frontend.stop.stream_duration.record_duration(
                    self.frontend.clock() - self.arrived_at
                )
                await self.write(b"", more=False)
                return "answered_200"
            case BreakStream(reason):
                # Without the end of the body, the server closes the connection.
                return f"broken_off: {reason}"
            case Fail():
                await self.send_error(output)
                return f"failed_{output.code.value}: {output.message}"
        return "unknown"

    def record_event_gap(self) -> None:
        """Update the longest gap between two events, in seconds."""
        now = self.frontend.clock()
        if self.last_event_at is not None:
            self.longest_gap_s = max(self.longest_gap_s, now - self.last_event_at)
        self.last_event_at = now

    async def send_error(self, failure: Fail) -> None:
        """Send an error that this instance itself produces."""
        status = failure_status(failure)
        headers = self.frontend.codec.encode_failure(self.scope, failure.retry_after_s)
        body = f"{failure.code.value}: {failure.message}\n".encode()
        length = (b"content-length", str(len(body)).encode())
        self.frontend.metrics.count(f"refused.{failure.code.value}")
        # The end of an accepted request is logged by `log_outcome`.
        if not self.route:
            log_event(
                "request_refused",
                id=self.request_id or None,
                code=failure.code.value,
                status=status,
                message=failure.message,
            )
        await self.send_head(status, [*headers, length])
        await self.write(body, more=False)

    async def send_head(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        """Send the status and the headers of the response."""
        if self.frontend.stop.has_begun():
            headers = [*headers, (b"connection", b"close")]
        await self.send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )

    async def write(self, payload: bytes, more: bool) -> None:
        """Send a part of the response body; `more` is False for the last part."""
        self.frontend.relayed_bytes += len(payload) + MESSAGE_OVERHEAD_BYTES
        await self.send(
            {"type": "http.response.body", "body": payload, "more_body": more}
        )

    def log_foreseen(self, relay: Relay, foreseen: Completion) -> None:
        """Log how a held prompt was taken into account, and whether it came true."""
        error_s = relay.foreseen_error_s
        side = "late" if error_s > 0 else "early"
        self.frontend.metrics.timing(f"prefix_error.{side}", abs(error_s))
        self.frontend.metrics.count("prefix_held_tokens", foreseen.held_tokens)
        source = foreseen.fetch_from
        log_event(
            "prefix_estimate",
            id=relay.request.request_id,
            upstream=relay.last_upstream,
            wait_s=foreseen.wait_s,
            expected_s=foreseen.first_event_s,
            error_s=error_s,
            held_tokens=round(foreseen.held_tokens),
            held_age_s=foreseen.held_age_s,
            fetched_from=source.name if source is not None else None,
        )

    def log_outcome(self, relay: Relay, outcome: str) -> None:
        """Log how a request ended and record its metrics."""
        request, routed = relay.request, relay.routed
        took_s = self.frontend.clock() - self.arrived_at
        kind = routed.route.kind.value
        outcome_name = outcome.partition(":")[0]
        self.frontend.metrics.count(f"requests.{kind}.{outcome_name}")
        self.frontend.metrics.timing(f"latency.{kind}", took_s)
        first_event_s = None
        if self.first_event_at is not None:
            first_event_s = self.first_event_at - self.arrived_at
            self.frontend.metrics.timing(f"first_event.{kind}", first_event_s)
            self.frontend.metrics.timing(f"longest_gap.{kind}", self.longest_gap_s)
        if relay.foreseen is not None:
            self.log_foreseen(relay, relay.foreseen)
        log_event(
            "request_ended",
            id=request.request_id,
            outcome=outcome,
            route=routed.route.name,
            service=routed.service.name,
            team=routed.team,
            configuration=routed.version,
            kind=kind,
            attempts=relay.last_number,
            upstream=relay.last_upstream or None,
            list_revision=relay.list_revision,
            list_age_s=relay.list_age_s,
            resume_after=request.resume_after,
            resumes=request.resumes,
            forwarded_by=request.hop.sender if request.hop else None,
            took_s=took_s,
            first_event_s=first_event_s,
            longest_gap_s=self.longest_gap_s,
        )


def failure_status(failure: Fail) -> int:
    """Return the HTTP status of an error that this instance itself produces.

    503 guarantees that the request has not run, so a request that may have run gets
    502 or 504.
    """
    if failure.code in PERMANENT_ERROR_CODES:
        return STATUS_BY_CODE[failure.code]
    if failure.verdict is Verdict.NOT_RUN:
        return STATUS_NOT_RUN
    if failure.code is ErrorCode.WAIT_EXCEEDED:
        return STATUS_TIMED_OUT
    return STATUS_UPSTREAM_FAILED


@asynccontextmanager
async def cancel_on_disconnect(receive: Receive) -> AsyncIterator[None]:
    """Cancel the code in the `async with` block when the caller disconnects.

    A handler that only waits for an upstream would not notice it otherwise.
    """
    body = asyncio.current_task()
    assert body is not None
    has_gone = False

    async def watch() -> None:
        nonlocal has_gone
        while (await receive())["type"] != "http.disconnect":
            pass
        has_gone = True
        body.cancel()

    watch_task = asyncio.create_task(watch())
    try:
        yield
    except asyncio.CancelledError:
        if not has_gone:
            raise
        body.uncancel()
    finally:
        watch_task.cancel()
