"""The port to plain services: passes one HTTP call through to one upstream.

Plain services are those that are not model engines: each call has one answer.

The verdict of an error states whether a byte of the call may have been sent: a call
that failed while its connection was being established is `NOT_RUN`; once a connection
was established it is `MAY_HAVE_RUN`.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Protocol

import aiohttp
from yarl import URL

from turmericusher.bounded_bodies import (
    FINAL_STATUSES,
    BodyTooLargeError,
    HeldBytes,
    bounded_connector,
    read_chunks,
    read_held,
)
from turmericusher.decisions.fleet import UpstreamInstance
from turmericusher.decisions.held_memory.limits import SLOW_READER_S
from turmericusher.errors import ErrorCode, UpstreamError, Verdict
from turmericusher.single_send import SendProgress, single_send_trace

CONNECT_TIMEOUT_S = 2.0

HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Headers that concern one connection (RFC 9110, section 7.6.1) or one hop's request:
its length, its host and the caller's `Expect`."""

Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class OutgoingCall:
    """One call to an upstream; `target` is the raw path with its query."""

    method: str
    target: str
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True)
class ServiceAnswer:
    """A service's complete answer."""

    status: int
    headers: Headers
    body: bytes


class ServicePort(Protocol):
    """Sends calls to plain services."""

    async def send(
        self, upstream: UpstreamInstance, call: OutgoingCall, timeout_s: float
    ) -> ServiceAnswer:
        """Send a call once and return its answer.

        Raises `UpstreamError` with the verdict `NOT_RUN` if no byte was sent, with
        `MAY_HAVE_RUN` if the answer is missing, and with `RAN` if the answer is too
        large to be held.
        """
        ...


@dataclass(slots=True)
class HttpServicePort:
    """A `ServicePort` over aiohttp; every call has a connection of its own.

    `held` counts the bytes of large answers in progress.

    A service may close a connection kept open from an earlier call at the very moment
    the next call is written to it. That call would have to be reported as
    `MAY_HAVE_RUN` although nothing is wrong, so connections are not reused.
    """

    session: aiohttp.ClientSession
    held: HeldBytes = field(default_factory=HeldBytes)

    async def send(
        self, upstream: UpstreamInstance, call: OutgoingCall, timeout_s: float
    ) -> ServiceAnswer:
        """Send a call once and return its answer."""
        progress = SendProgress()
        timeout = aiohttp.ClientTimeout(
            total=timeout_s, sock_connect=min(timeout_s, CONNECT_TIMEOUT_S)
        )
        try:
            async with self.session.request(
                call.method,
                URL(f"http://{upstream.address}{call.target}", encoded=True),
                headers=call.headers,
                data=call.body or None,
                allow_redirects=False,
                timeout=timeout,
                trace_request_ctx=progress,
            ) as response:
                return await read_answer(upstream, response, self.held)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise call_error(upstream, progress, error) from error


async def read_answer(
    upstream: UpstreamInstance, response: aiohttp.ClientResponse, held: HeldBytes
) -> ServiceAnswer:
    """Return the whole answer.

    Raises `UpstreamError` if it is none, or too large to hold.
    """
    if response.status not in FINAL_STATUSES:
        raise UpstreamError(
            ErrorCode.UPSTREAM_FAILED,
            f"upstream {upstream.name!r} answered with status={response.status}, which "
            "is not that of an answer",
            verdict=Verdict.MAY_HAVE_RUN,
        )
    try:
        body = await read_held(read_chunks(response), held)
    except BodyTooLargeError as error:
        raise UpstreamError(
            ErrorCode.OUTCOME_TOO_LARGE,
            f"the answer of upstream {upstream.name!r} is too large: {error}; ask it "
            "for less",
            verdict=Verdict.RAN,
        ) from error
    headers = end_to_end_headers(response.headers.items())
    return ServiceAnswer(response.status, headers, body)


def end_to_end_headers(headers: object) -> Headers:
    """Return the headers that may be forwarded: those that are not hop-by-hop."""
    pairs: list[tuple[str, str]] = list(headers)  # type: ignore[call-overload]
    return tuple(
        (name, value) for name, value in pairs if name.lower() not in HOP_BY_HOP_HEADERS
    )


def call_error(
    upstream: UpstreamInstance, progress: SendProgress, error: Exception
) -> UpstreamError:
    """Return the error for a call without a complete answer."""
    reason = str(error) or type(error).__name__
    if not progress.is_connected:
        return UpstreamError(
            ErrorCode.UPSTREAM_FAILED,
            f"cannot connect to upstream {upstream.name!r} at {upstream.address!r}: "
            f"{reason}",
            verdict=Verdict.NOT_RUN,
        )
    return UpstreamError(
        ErrorCode.UPSTREAM_FAILED,
        f"upstream {upstream.name!r} sent no complete answer: {reason}",
        verdict=Verdict.MAY_HAVE_RUN,
    )


@asynccontextmanager
async def open_service_port() -> AsyncIterator[HttpServicePort]:
    """Yield the port, and close its session on exit."""
    async with open_single_send_session() as session:
        yield HttpServicePort(session)


@asynccontextmanager
async def open_single_send_session(
    slow_reader_s: float = SLOW_READER_S,
) -> AsyncIterator[aiohttp.ClientSession]:
    """Yield a session that sends each request at most once, on a new connection.

    It adds no headers and decodes no bodies, so that calls and answers pass unchanged.
    """
    connector = bounded_connector(slow_reader_s, force_close=True, limit=0)
    async with aiohttp.ClientSession(
        connector=connector,
        trace_configs=[single_send_trace()],
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
    ) as session:
        yield session
