"""Sends attempts to upstreams over HTTP and reports their responses as typed events.

Every attempt has a connection of its own. Bytes that an upstream sends after a complete
response therefore never reach another request, and a connection that failed before it
was established proves that the request has not run.
"""

from __future__ import annotations

import asyncio
import re
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace

import aiohttp
from yarl import URL

from turmericusher.api.headers import FORWARDED_HEADER
from turmericusher.bounded_bodies import (
    FINAL_STATUSES,
    MAX_EVENT_BYTES,
    MAX_MESSAGE_BYTES,
    BodyTooLargeError,
    CountedBody,
    HeldBytes,
    check_size,
    has_own_end,
    read_bounded,
    read_chunks,
    read_held,
)
from turmericusher.decisions.fleet import UpstreamInstance
from turmericusher.decisions.forwarding import Hop, Refusal
from turmericusher.decisions.held_memory.limits import SLOW_READER_S
from turmericusher.decisions.open_losses import EndState
from turmericusher.decisions.placing.upstream_load import LoadReport
from turmericusher.decisions.relay_messages import (
    AnswerArrived,
    AttemptCause,
    AttemptConnected,
    AttemptFailed,
    EventArrived,
    Headers,
    MemoryCopy,
    RelayAnswer,
    RelayedRequest,
    RelayEvent,
    ReportQuery,
    ReportState,
    StartRelay,
    StoppedRun,
    StreamFinished,
    StreamOpened,
)
from turmericusher.decisions.routing import RoutedRequest
from turmericusher.decisions.run_ends import RunEnd
from turmericusher.errors import ErrorCode, Verdict
from turmericusher.logs import log_event
from turmericusher.memory_guard import MemoryGuard
from turmericusher.platform.codec import (
    parse_leaving,
    parse_load,
    parse_pause,
    parse_send_limit,
)
from turmericusher.platform.names import (
    COPY_PATH,
    COPY_SOURCE,
    FETCH_SOURCE,
    LAST_EVENT_ID,
    NOT_RUN_MARK,
    RELEASE_PATH,
    REMAINING_MS,
    REPORT_PATH,
    REQUEST_ID,
    RESUMES,
    SIGNATURE,
    STANDBY_ADDRESS,
    TARGET_UPSTREAM,
    TEAM,
    URGENCY,
)
from turmericusher.platform.records import (
    decode_copy_handle,
    decode_report,
    encode_copy_request,
)
from turmericusher.platform.settings import MILLISECONDS_PER_S
from turmericusher.ports.relay import EventSink
from turmericusher.ports.services import open_single_send_session
from turmericusher.single_send import SendProgress

CONNECT_TIMEOUT_S = 0.3
"""Connecting to another failure domain takes a few milliseconds. An attempt to connect
that is still unanswered is repeated by the kernel only after a second."""

REPORT_TIMEOUT_S = 0.15
"""Shorter than the pause that callers accept in a stream, so that a report can decide
within that pause what becomes of an attempt."""

COPY_TIMEOUT_S = 2.0
"""Copying the KV cache of a long prompt takes milliseconds, a little more behind other
copies."""

NOT_FOUND = 404
MISDIRECTED = 421
UNAVAILABLE = 503
SUCCESS = range(200, 300)
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that tell a caller that nothing ran; not passed on if the request may have
run."""

MAX_MESSAGE_CHARS = 200

EVENT_END = re.compile(rb"\r?\n\r?\n")
MAX_EVENT_END_BYTES = 4
EVENT_ID = re.compile(rb"^id:[ ]*([0-9]+)[ ]*\r?$", re.MULTILINE)

LoadListener = Callable[[str, LoadReport], None]
LimitListener = Callable[[UpstreamInstance, float | None], None]
LeavingListener = Callable[[UpstreamInstance], None]
PauseListener = Callable[[UpstreamInstance, float | None], None]


class MalformedStreamError(Exception):
    """A response has an event without an id or ends within an event."""


MESSAGE_ERRORS = (
    aiohttp.ClientError,
    TimeoutError,
    OSError,
    ValueError,
    BodyTooLargeError,
)
"""Errors of a call about an upstream or a copy, which then counts as unanswered."""


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One complete event of a stream; `payload` holds its bytes as received."""

    event_id: int
    payload: bytes


@dataclass(slots=True)
class PlatformUpstreams:
    """A `RelayPort` over aiohttp.

    `on_load` receives the loads in response headers. `on_limit` receives, for each
    response to a request, the requests per second that its upstream takes, or None
    without a limit. A report or a refusal may name a limit too, but does not lift one.
    `on_leaving` receives, for each response that says so, the upstream that is leaving.
    `on_pause` receives, for each refusal that asks for a pause, its seconds, or None if
    they are malformed. `held` counts the bytes of large answers in progress.
    """

    session: aiohttp.ClientSession
    on_load: LoadListener
    on_limit: LimitListener
    on_leaving: LeavingListener
    on_pause: PauseListener
    held: HeldBytes = field(default_factory=HeldBytes)

    async def send(
        self,
        start: StartRelay,
        request: RelayedRequest,
        routed: RoutedRequest,
        sink: EventSink,
    ) -> None:
        """Send one attempt and pass its events to `sink`; the last ends the attempt."""
        clock = asyncio.get_running_loop().time

        async def report_connection() -> None:
            await sink(AttemptConnected(start.attempt, clock()))

        progress = SendProgress(on_connected=report_connection)
        try:
            async with self.session.request(
                request.method,
                URL(f"http://{start.upstream.address}{request.target}", encoded=True),
                headers=attempt_headers(start, request, routed, clock()),
                data=request.body or None,
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(
                    total=max(0.0, start.deadline - clock()),
                    sock_connect=CONNECT_TIMEOUT_S,
                ),
                trace_request_ctx=progress,
            ) as response:
                exchange = AttemptExchange(start, request, response, sink, self.held)
                if start.hop is None and exchange.answered_id is None:
                    self.read_signals(exchange)
                await exchange.emit_events(routed.route.kind.is_stream)
        except (MalformedStreamError, BodyTooLargeError) as error:
            cause, verdict = AttemptCause.MALFORMED, Verdict.MAY_HAVE_RUN
            await sink(failure(start, cause, verdict, str(error)))
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            await sink(failure_from_error(start, progress, error))

    def read_signals(self, exchange: AttemptExchange) -> None:
        """Pass on what an upstream says of itself in a response to an attempt."""
        upstream, headers = exchange.start.upstream, exchange.headers
        self.note_signals(upstream, exchange.response)
        load = parse_load(headers)
        if load is not None:
            self.on_load(upstream.name, load)
        limit_per_s = self.read_limit(upstream, headers)
        if limit_per_s is not None or not exchange.is_refusal:
            self.on_limit(upstream, limit_per_s)

    def note_signals(
        self, upstream: UpstreamInstance, response: aiohttp.ClientResponse
    ) -> bool:
        """Pass on that an upstream is leaving if its response says so.

        If another incarnation or another upstream has answered at the address, this one
        has ended. A pause that a refusal asks for is passed on as well.
        """
        self.note_pause(upstream, response)
        is_leaving = parse_leaving(tuple(response.headers.items()))
        if is_leaving:
            self.on_leaving(upstream)
        return is_leaving

    def read_limit(self, upstream: UpstreamInstance, headers: Headers) -> float | None:
        """Return the limit that a response names; a malformed one counts as none."""
        try:
            return parse_send_limit(headers)
        except ValueError as error:
            log_event("limit_malformed", upstream=upstream.name, error=str(error))
            return None

    def note_pause(
        self, upstream: UpstreamInstance, response: aiohttp.ClientResponse
    ) -> None:
        """Pass on the pause that a refusal asks for; a malformed one counts as none."""
        if response.status != UNAVAILABLE:
            return
        try:
            pause_s = parse_pause(tuple(response.headers.items()))
        except ValueError:
            self.on_pause(upstream, None)
            return
        if pause_s is not None:
            self.on_pause(upstream, pause_s)

    async def query_report(self, upstream: UpstreamInstance) -> ReportQuery:
        """Query an upstream's load, for as long as a stalled stream can wait."""
        timeout = aiohttp.ClientTimeout(total=REPORT_TIMEOUT_S)
        url = f"http://{upstream.address}{REPORT_PATH}"
        progress = SendProgress()
        try:
            async with self.session.get(
                url, timeout=timeout, trace_request_ctx=progress
            ) as response:
                is_leaving = self.note_signals(upstream, response)
                data = await read_bounded(response, MAX_MESSAGE_BYTES)
            limit_per_s = self.read_limit(upstream, tuple(response.headers.items()))
            if limit_per_s is not None:
                self.on_limit(upstream, limit_per_s)
            report = decode_report(data)
            load = parse_load(tuple(response.headers.items()))
            if load is not None and load.slowdown is not None:
                self.on_load(upstream.name, load)
            if is_leaving:
                # The report names the incarnation, which the list may not show yet.
                self.on_leaving(replace(upstream, incarnation=report.incarnation))
            return ReportQuery(ReportState.ANSWERED, report)
        except MESSAGE_ERRORS as error:
            state = report_state(progress, error)
            log_event(
                "report_missing",
                upstream=upstream.name,
                state=state.value,
                error=repr(error),
            )
            return ReportQuery(state)

    async def find_end_state(self, upstream: UpstreamInstance) -> EndState:
        """Find out whether an upstream refuses connections or another one answers.

        One that makes no reports answers with an error, as its successor at the address
        may do too.
        """
        timeout = aiohttp.ClientTimeout(total=REPORT_TIMEOUT_S)
        url = f"http://{upstream.address}{REPORT_PATH}"
        headers = {TARGET_UPSTREAM: upstream.name}
        try:
            async with self.session.get(
                url, headers=headers, timeout=timeout
            ) as response:
                self.note_signals(upstream, response)
                data = await read_bounded(response, MAX_MESSAGE_BYTES)
        except aiohttp.ClientConnectorError as error:
            is_refused = isinstance(error.os_error, ConnectionRefusedError)
            return EndState.ENDED if is_refused else EndState.UNKNOWN
        except MESSAGE_ERRORS:
            return EndState.UNKNOWN
        if response.status == MISDIRECTED:
            return EndState.ENDED
        try:
            is_same = decode_report(data).incarnation == upstream.incarnation
        except ValueError:
            return EndState.UNKNOWN
        return EndState.RUNNING if is_same else EndState.ENDED

    async def can_connect(self, upstream: UpstreamInstance) -> bool:
        """Whether an upstream accepts a connection in time; nothing is sent on it."""
        host, _, port = upstream.address.rpartition(":")
        try:
            async with asyncio.timeout(REPORT_TIMEOUT_S):
                _, writer = await asyncio.open_connection(host.strip("[]"), int(port))
        except (TimeoutError, OSError):
            return False
        writer.close()
        return True

    async def copy_memory(
        self, source: UpstreamInstance, request_id: str, target: UpstreamInstance
    ) -> MemoryCopy | None:
        """Let `source` copy the KV cache of a request that it runs to `target`.

        Returns None if no copy was made.
        """
        timeout = aiohttp.ClientTimeout(total=COPY_TIMEOUT_S)
        url = f"http://{source.address}{COPY_PATH}"
        body = encode_copy_request(request_id, target.address)
        try:
            async with self.session.post(url, data=body, timeout=timeout) as response:
                self.note_signals(source, response)
                data = await read_bounded(response, MAX_MESSAGE_BYTES)
                if response.status not in SUCCESS:
                    return None
            return MemoryCopy(target, source, decode_copy_handle(data))
        except MESSAGE_ERRORS as error:
            log_event("copy_missing", upstream=source.name, error=repr(error))
            return None

    async def stop_run(
        self, source: UpstreamInstance, request_id: str, target: UpstreamInstance
    ) -> StoppedRun:
        """Have `source` stop a run and copy its KV cache to `target` after that."""
        timeout = aiohttp.ClientTimeout(total=COPY_TIMEOUT_S)
        url = f"http://{source.address}{COPY_PATH}"
        body = encode_copy_request(request_id, target.address, is_last=True)
        try:
            async with self.session.post(url, data=body, timeout=timeout) as response:
                self.note_signals(source, response)
                data = await read_bounded(response, MAX_MESSAGE_BYTES)
        except MESSAGE_ERRORS as error:
            log_event("stop_missing", upstream=source.name, error=repr(error))
            os_error = getattr(error, "os_error", error)
            is_refused = isinstance(os_error, ConnectionRefusedError)
            end = RunEnd.UPSTREAM_ENDED if is_refused else RunEnd.UNKNOWN
            return StoppedRun(end, has_answered=False)
        return stopped_run(response.status, data, source, target)

    async def release_copy(self, copy: MemoryCopy) -> None:
        """Free the memory of a copy; a copy that is already gone is not an error."""
        timeout = aiohttp.ClientTimeout(total=REPORT_TIMEOUT_S)
        url = f"http://{copy.source.address}{RELEASE_PATH}/{copy.handle}"
        try:
            async with self.session.delete(url, timeout=timeout) as response:
                self.note_signals(copy.source, response)
                await read_bounded(response, MAX_MESSAGE_BYTES)
        except MESSAGE_ERRORS as error:
            log_event("release_failed", holder=copy.holder.name, error=repr(error))


@dataclass(slots=True)
class AttemptExchange:
    """A response whose headers have arrived, and the sink for its events."""

    start: StartRelay
    request: RelayedRequest
    response: aiohttp.ClientResponse
    sink: EventSink
    held: HeldBytes

    @property
    def headers(self) -> Headers:
        """Return the response's headers."""
        return tuple(self.response.headers.items())

    @property
    def answered_id(self) -> str | None:
        """The id of another request that the response belongs to, if it names one.

        A faulty upstream may send an earlier response once more.
        """
        own = self.request.request_id
        answered = self.response.headers.get(REQUEST_ID, own)
        return answered if answered != own else None

    @property
    def is_refusal(self) -> bool:
        """Whether the response says that the request did not run here."""
        return self.response.status == MISDIRECTED or (
            NOT_RUN_MARK in self.response.headers
        )

    @property
    def is_instance_refusal(self) -> bool:
        """Whether the instance that a request was forwarded to refuses it itself.

        The failure of an upstream that it passes on is signed.
        """
        status, headers = self.response.status, self.response.headers
        return status in NOT_RUN_STATUSES and SIGNATURE not in headers

    async def instance_refusal(self) -> AttemptFailed:
        """Return the failure for a refusal by another instance.

        Its body has the error code and the message, with a colon between them.
        """
        body = await read_bounded(self.response, MAX_MESSAGE_BYTES)
        text = body.decode(errors="replace").strip()
        code, _, message = text.partition(": ")
        try:
            retry_after_s = parse_pause(self.headers)
        except ValueError as error:
            log_event(
                "refusal_malformed", instance=self.start.upstream.name, error=error
            )
            retry_after_s = None
        known = code in ErrorCode.__members__.values()
        refusal = Refusal(
            ErrorCode(code) if known else ErrorCode.NO_UPSTREAM,
            message[:MAX_MESSAGE_CHARS],
            retry_after_s,
        )
        failed = failure(
            self.start, AttemptCause.REFUSED, Verdict.NOT_RUN, text[:MAX_MESSAGE_CHARS]
        )
        return replace(failed, refusal=refusal)

    async def emit_events(self, is_stream: bool) -> None:
        """Read the response and pass its events to the sink."""
        if self.start.hop is not None and self.is_instance_refusal:
            await self.sink(await self.instance_refusal())
            return
        early = self.failure_from_headers()
        if early is not None:
            await self.sink(early)
            return
        if is_stream and self.response.status in SUCCESS:
            await self.emit_stream()
            return
        body = await read_held(read_chunks(self.response), self.held)
        await self.sink(
            self.answer_event(RelayAnswer(self.response.status, self.headers, body))
        )

    def failure_from_headers(self) -> AttemptFailed | None:
        """Return the failure that status and headers alone prove; None without one.

        A refusal that is marked as not run has the cause `NO_COPY` if the attempt was
        to resume from a copy, and `OVERLOADED` otherwise.
        """
        status, headers = self.response.status, self.response.headers
        if self.answered_id is not None:
            # What it says of another request, a refusal too, says nothing of this one.
            cause, verdict = AttemptCause.MALFORMED, Verdict.MAY_HAVE_RUN
            problem = f"response to another request: {self.answered_id!r}"
            return failure(self.start, cause, verdict, problem)
        if status == MISDIRECTED:
            return failure(self.start, AttemptCause.MISDIRECTED, Verdict.NOT_RUN)
        if NOT_RUN_MARK in headers:
            is_copy = self.start.from_copy
            cause = AttemptCause.NO_COPY if is_copy else AttemptCause.OVERLOADED
            return failure(self.start, cause, Verdict.NOT_RUN, f"status={status}")
        problem = ""
        if status not in FINAL_STATUSES:
            problem = f"status={status} is not that of an answer"
        elif status in SUCCESS and SIGNATURE not in headers:
            problem = f"status={status} without a signature"
        elif "Content-Encoding" in headers:
            problem = f"unexpected content encoding {headers['Content-Encoding']!r}"
        if not problem:
            return None
        return failure(
            self.start, AttemptCause.MALFORMED, Verdict.MAY_HAVE_RUN, problem
        )

    def answer_event(self, answer: RelayAnswer) -> RelayEvent:
        """Return the event for a complete answer, whether a success or a failure."""
        number, now = self.start.attempt, asyncio.get_running_loop().time()
        is_not_run_status = answer.status in NOT_RUN_STATUSES
        if answer.status < 500 and not is_not_run_status:
            return AnswerArrived(number, now, answer)
        return AttemptFailed(
            number,
            now,
            AttemptCause.FAILED,
            Verdict.MAY_HAVE_RUN,
            f"status={answer.status}",
            None if is_not_run_status else answer,
        )

    async def emit_stream(self) -> None:
        """Pass the events of a stream to the sink as they arrive."""
        number, clock = self.start.attempt, asyncio.get_running_loop().time
        await self.sink(StreamOpened(number, clock(), self.headers))
        async for event in read_events(self.response, self.held):
            await self.sink(
                EventArrived(number, clock(), event.payload, event.event_id)
            )
        await self.sink(StreamFinished(number, clock(), has_own_end(self.response)))


async def read_events(
    response: aiohttp.ClientResponse, held: HeldBytes
) -> AsyncIterator[StreamEvent]:
    """Yield the events of a stream; a large one that is incomplete counts in `held`.

    Raises `MalformedStreamError` for one without an id or without its end, and
    `BodyTooLargeError` for one that is too large.
    """
    with held.counting() as counted:
        async for event in split_events(response, counted):
            yield event


async def split_events(
    response: aiohttp.ClientResponse, counted: CountedBody
) -> AsyncIterator[StreamEvent]:
    """Yield the events of a stream, as `read_events` does."""
    pending, searched = bytearray(), 0
    async for chunk in read_chunks(response):
        pending += chunk
        while (end := EVENT_END.search(pending, searched)) is not None:
            payload, searched = bytes(pending[: end.end()]), 0
            del pending[: end.end()]
            id_match = EVENT_ID.search(payload)
            if id_match is None:
                raise MalformedStreamError(f"event without an id: {payload[:80]!r}")
            yield StreamEvent(int(id_match[1]), payload)
        # The end may lie across two chunks.
        searched = max(0, len(pending) - MAX_EVENT_END_BYTES)
        check_size(len(pending), MAX_EVENT_BYTES)
        await counted.take(len(pending))
    if pending.strip():
        raise MalformedStreamError("the stream ended within an event")


def attempt_headers(
    start: StartRelay, request: RelayedRequest, routed: RoutedRequest, now: float
) -> list[tuple[str, str]]:
    """Return the headers of an attempt: the caller's, then those of this system."""
    remaining_ms = max(1, int((start.deadline - now) * MILLISECONDS_PER_S))
    if start.hop is not None:
        return forwarding_headers(start, request, start.hop, remaining_ms)
    headers = [
        ("Host", request.host),
        *request.headers,
        (REMAINING_MS, str(remaining_ms)),
        (TARGET_UPSTREAM, start.upstream.name),
    ]
    if routed.team:
        headers.append((TEAM, routed.team))
    if routed.service.reports_load:
        headers.append((URGENCY, str(routed.urgency)))
    if start.copy is not None:
        source = f"{start.copy.source.address}/{start.copy.handle}"
        headers.append((COPY_SOURCE, source))
    if start.fetch_from is not None:
        headers.append((FETCH_SOURCE, start.fetch_from.address))
    if start.resume_after is not None:
        headers.append((LAST_EVENT_ID, str(start.resume_after)))
    elif start.from_copy:
        # No event was delivered yet: resume from the start of the stream.
        headers.append((LAST_EVENT_ID, "0"))
    if start.standby is not None:
        headers.append((STANDBY_ADDRESS, start.standby.address))
    return headers


def forwarding_headers(
    start: StartRelay, request: RelayedRequest, hop: Hop, remaining_ms: int
) -> list[tuple[str, str]]:
    """Return the headers of a request to another instance: as a caller sends them.

    A stream in progress is taken up again, as its caller would do.
    """
    headers = [("Host", request.host)]
    headers += [
        (name, value)
        for name, value in request.headers
        if hop.resumes is None or name != RESUMES
    ]
    headers.append((REMAINING_MS, str(remaining_ms)))
    if request.key is not None:
        headers.append(("Authorization", f"Bearer {request.key}"))
    if start.resume_after is not None:
        headers.append((LAST_EVENT_ID, str(start.resume_after)))
    if hop.resumes is not None:
        headers.append((RESUMES, hop.resumes))
    may_have_run = int(hop.may_have_run)
    value = f"{hop.sender};{hop.configuration};{may_have_run};{hop.receiver}"
    headers.append((FORWARDED_HEADER, value))
    return headers


def failure_from_error(
    start: StartRelay, progress: SendProgress, error: Exception
) -> AttemptFailed:
    """Return the failure of an attempt whose exchange raised `error`.

    The request has certainly not run only if no connection was established.
    """
    if not progress.is_connected:
        cause, verdict = AttemptCause.UNREACHABLE, Verdict.NOT_RUN
    elif isinstance(error, aiohttp.ClientResponseError | ValueError):
        cause, verdict = AttemptCause.MALFORMED, Verdict.MAY_HAVE_RUN
    else:
        cause, verdict = AttemptCause.LOST, Verdict.MAY_HAVE_RUN
    return failure(start, cause, verdict, repr(error)[:MAX_MESSAGE_CHARS])


def stopped_run(
    status: int, data: bytes, source: UpstreamInstance, target: UpstreamInstance
) -> StoppedRun:
    """Return what an answer to the order to stop a run says of it.

    An upstream that could not copy the KV cache has stopped the run all the same, and
    keeps the cache, if its answer has a handle.
    """
    if status in (NOT_FOUND, MISDIRECTED):
        return StoppedRun(RunEnd.ABSENT)
    holder = target if status in SUCCESS else source
    try:
        handle = decode_copy_handle(data)
    except ValueError:
        return StoppedRun(RunEnd.UNKNOWN)
    return StoppedRun(RunEnd.STOPPED, MemoryCopy(holder, source, handle))


def report_state(progress: SendProgress, error: Exception) -> ReportState:
    """Return what a query for a report that raised `error` shows of its upstream."""
    if progress.is_connected:
        is_late = isinstance(error, TimeoutError)
        return ReportState.SILENT if is_late else ReportState.INVALID
    os_error = getattr(error, "os_error", error)
    is_refused = isinstance(os_error, ConnectionRefusedError)
    return ReportState.REFUSED if is_refused else ReportState.UNREACHED


def failure(
    start: StartRelay, cause: AttemptCause, verdict: Verdict, message: str = ""
) -> AttemptFailed:
    """Return the failure of an attempt, with the current time."""
    now = asyncio.get_running_loop().time()
    return AttemptFailed(start.attempt, now, cause, verdict, message)


@asynccontextmanager
async def open_platform_upstreams(
    on_load: LoadListener,
    on_limit: LimitListener,
    on_leaving: LeavingListener,
    on_pause: PauseListener,
    guard: MemoryGuard | None = None,
) -> AsyncIterator[PlatformUpstreams]:
    """Yield the port, and close its session on exit."""
    held = HeldBytes(guard=guard)
    slow_reader_s = guard.limits.slow_reader_s if guard is not None else SLOW_READER_S
    async with open_single_send_session(slow_reader_s) as session:
        yield PlatformUpstreams(session, on_load, on_limit, on_leaving, on_pause, held)
