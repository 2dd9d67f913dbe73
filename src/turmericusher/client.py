"""Client library: entry points, streams that resume elsewhere, safe repeats of calls.

The client holds every token that it has received, so it is the journal of its own
answer: when an entry instance dies, the client sends these tokens to another one, which
continues the answer after them.
"""

from __future__ import annotations

import asyncio
import itertools
import random
import time
import uuid
from collections.abc import AsyncIterator, Callable, Mapping
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

import aiohttp
import orjson
from uuid6 import uuid7

from turmericusher.client_answers import (
    REPEATABLE_WITH_SAME_KEY,
    STREAM_END,
    CallResult,
    ConnectionLostError,
    EntryPoint,
    Received,
    ReceivedChunk,
    RetryElsewhereError,
    build_request_body,
    parse_error,
    process_event,
    raise_for_error,
    read_events,
)
from turmericusher.errors import (
    ErrorCode,
    TurmericusherError,
    UpstreamError,
    Verdict,
)
from turmericusher.single_send import SendProgress, single_send_trace

CONNECT_TIMEOUT_S = 1.0
HEARTBEAT_TIMEOUT_S = 1.5
"""Seconds without data after which a stream's instance counts as dead. An instance
sends a heartbeat every second while a generation waits to be admitted, and after that
whenever 0.5 s pass without a chunk."""
CALL_TIMEOUT_S = 60.0
INITIAL_RETRY_PAUSE_S = 0.05
"""Seconds before the first retry; the pause doubles up to `MAX_RETRY_PAUSE_S`."""
MAX_RETRY_PAUSE_S = 1.0
FAILURE_COOLDOWN_S = 2.0
"""Seconds for which an address that failed is the last choice."""
RESUME_LIMIT_S = 60.0
STATUS_OK = 200


@dataclass(frozen=True, slots=True)
class ClientOptions:
    """The addresses, identity and time limits of a client.

    `seeds` are the entry points (`ip:port`) used until others are discovered.
    `team`, `profile` and `token` are sent with each request unless empty.
    Entry points in `failure_domain` are preferred.
    `heartbeat_timeout_s`: seconds without data after which a stream's instance counts
    as dead.
    `resume_limit_s`: seconds without a new token after which resuming a broken answer
    is abandoned.
    `call_timeout_s`: seconds for one call of a plain service, repeats included.
    """

    seeds: tuple[str, ...]
    team: str = ""
    profile: str = ""
    failure_domain: str = ""
    token: str = ""
    heartbeat_timeout_s: float = HEARTBEAT_TIMEOUT_S
    resume_limit_s: float = RESUME_LIMIT_S
    call_timeout_s: float = CALL_TIMEOUT_S


@dataclass(slots=True)
class EntryPointCache:
    """The entry points last fetched, valid until `expires_at` (monotonic seconds).

    `cooldowns` maps each address that failed to the time until which it is the last
    choice.
    """

    known: tuple[EntryPoint, ...] = ()
    expires_at: float = 0.0
    cooldowns: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class Client:
    """A client of the entry points; open it with `open_client`."""

    options: ClientOptions
    session: aiohttp.ClientSession
    random: random.Random
    clock: Callable[[], float] = time.monotonic
    entry_points: EntryPointCache = field(default_factory=EntryPointCache)

    # Discovery of entry points.

    async def choose_address(self) -> str:
        """Return the address for the next connection, by `rank`.

        Entry points are fetched again if they have expired or all of them failed
        lately; the seeds are candidates if all failed even then.
        """
        now = self.clock()
        if now >= self.entry_points.expires_at or self.has_no_healthy_entry_point(now):
            await self.refresh_entry_points()
        candidates = self.entry_points.known
        if self.has_no_healthy_entry_point(now):
            seeds = tuple(EntryPoint("", seed, "") for seed in self.options.seeds)
            candidates += seeds
        return min(candidates, key=lambda entry: self.rank(entry, now)).address

    def has_no_healthy_entry_point(self, now: float) -> bool:
        """Whether every known entry point is cooling down, or none is known."""
        cooldowns = self.entry_points.cooldowns
        return all(
            cooldowns.get(entry.address, 0.0) > now for entry in self.entry_points.known
        )

    def rank(self, entry: EntryPoint, now: float) -> tuple[float, bool, float]:
        """Return the sort key of an entry point; the smallest is preferred.

        Entry points that have not failed lately come first, then those in the caller's
        failure domain; ties are broken at random.
        """
        cooldown_until = self.entry_points.cooldowns.get(entry.address, 0.0)
        return (
            max(0.0, cooldown_until - now),
            entry.failure_domain != self.options.failure_domain,
            self.random.random(),
        )

    async def refresh_entry_points(self) -> None:
        """Fetch the entry points from the first known address that responds.

        Addresses that are cooling down are tried last. One that cannot be reached is
        cooled down; one that responds with an error is only skipped. If none responds,
        the entry points known so far are kept.
        """
        known = [entry.address for entry in self.entry_points.known]
        now = self.clock()
        addresses = dict.fromkeys([*known, *self.options.seeds])
        cooldowns = self.entry_points.cooldowns
        for address in sorted(addresses, key=lambda a: cooldowns.get(a, 0.0) > now):
            try:
                body = await self.fetch_entry_points(address)
            except (aiohttp.ClientResponseError, ValueError):
                continue
            except (aiohttp.ClientError, TimeoutError, OSError):
                self.cool_down(address)
                continue
            self.cache_entry_points(body)
            return

    async def fetch_entry_points(self, address: str) -> dict[str, Any]:
        """Fetch the entry points from one address."""
        timeout = aiohttp.ClientTimeout(total=CONNECT_TIMEOUT_S)
        url = f"http://{address}/v1/entrypoints"
        async with self.session.get(url, timeout=timeout) as response:
            response.raise_for_status()
            body: dict[str, Any] = orjson.loads(await response.read())
            return body

    def cache_entry_points(self, body: dict[str, Any]) -> None:
        """Cache the entry points of a response for its time to live.

        A response without entry points is ignored.
        """
        entries = tuple(
            EntryPoint(entry["name"], entry["address"], entry["failure_domain"])
            for entry in body["entrypoints"]
        )
        if not entries:
            return
        now = self.clock()
        self.entry_points.known = entries
        self.entry_points.expires_at = now + float(body["ttl_s"])
        cooldowns = self.entry_points.cooldowns
        self.entry_points.cooldowns = {a: t for a, t in cooldowns.items() if t > now}

    def cool_down(self, address: str) -> None:
        """Make an address the last choice for `FAILURE_COOLDOWN_S` seconds."""
        self.entry_points.cooldowns[address] = self.clock() + FAILURE_COOLDOWN_S

    # Generations.

    async def stream(
        self, body: Mapping[str, Any], received: Received | None = None
    ) -> AsyncIterator[ReceivedChunk]:
        """Yield the chunks of an answer until it is complete, across entry instances.

        `body` is a chat completion request if it has `messages`, else a completion
        request. What arrives is added to `received`, which may already hold the part of
        the answer that an earlier call received. Raises `TurmericusherError` for an
        error that is not specific to one instance, or if no instance continues the
        answer within `resume_limit_s`.
        """
        answer = Received() if received is None else received
        deadline = self.clock() + self.options.resume_limit_s
        pause_s = INITIAL_RETRY_PAUSE_S
        while answer.finish_reason is None:
            count = len(answer.token_ids)
            address = await self.choose_address()
            try:
                async for chunk in self.stream_once(address, body, answer):
                    yield chunk
                continue
            except (ConnectionLostError, RetryElsewhereError) as error:
                self.cool_down(address)
                lost = error
            if len(answer.token_ids) > count:
                deadline = self.clock() + self.options.resume_limit_s
                pause_s = INITIAL_RETRY_PAUSE_S
            if self.clock() + pause_s >= deadline:
                raise self.resume_limit_error(lost, answer)
            answer.resumes += 1
            await asyncio.sleep(pause_s * self.random.uniform(0.5, 1.0))
            pause_s = min(pause_s * 2, MAX_RETRY_PAUSE_S)

    async def complete(self, body: Mapping[str, Any]) -> Received:
        """Return a complete answer, resumed across entry instances as by `stream`."""
        answer = Received()
        async for _ in self.stream(body, answer):
            pass
        return answer

    async def stream_once(
        self, address: str, body: Mapping[str, Any], answer: Received
    ) -> AsyncIterator[ReceivedChunk]:
        """Yield the chunks that arrive over one connection.

        The connection is closed on any failure, so late data on it is discarded.
        """
        path = "/v1/chat/completions" if "messages" in body else "/v1/completions"
        try:
            async with self.session.post(
                f"http://{address}{path}",
                data=orjson.dumps(build_request_body(body, answer)),
                headers=self.headers(),
                timeout=self.stream_timeout(),
            ) as response:
                if response.status != STATUS_OK:
                    raise_for_error(await response.read())
                async for data in read_events(response):
                    if data == STREAM_END:
                        break
                    chunk = process_event(orjson.loads(data), answer)
                    if chunk is not None:
                        answer.add(chunk)
                        yield chunk
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            raise ConnectionLostError(f"{address}: {error!r}") from error
        if answer.finish_reason is None:
            raise ConnectionLostError(f"{address}: the stream ended early")

    def stream_timeout(self) -> aiohttp.ClientTimeout:
        """Return the timeouts of a stream: none in total, a short one between reads."""
        return aiohttp.ClientTimeout(
            total=None,
            sock_connect=CONNECT_TIMEOUT_S,
            sock_read=self.options.heartbeat_timeout_s,
        )

    def resume_limit_error(
        self, lost: ConnectionLostError | RetryElsewhereError, answer: Received
    ) -> TurmericusherError:
        """Return the error to raise once the resume limit has passed."""
        if isinstance(lost, RetryElsewhereError):
            return lost.error
        return UpstreamError(
            ErrorCode.ANSWER_INTERRUPTED,
            f"no entry point resumed the answer within "
            f"resume_limit_s={self.options.resume_limit_s!r}; the last one failed "
            f"with: {lost}",
            verdict=Verdict.MAY_HAVE_RUN,
            retry_after_s=FAILURE_COOLDOWN_S,
        )

    # Plain services.

    async def call(
        self,
        service: str,
        path: str,
        body: bytes = b"",
        method: str = "POST",
        key: str | None = None,
        headers: Mapping[str, str] | None = None,
        first_number: int | None = None,
    ) -> CallResult:
        """Call a plain service and repeat at another entry point where that is safe.

        A plain service is one without model generations. Every repeat carries the same
        idempotency key and its own attempt number. The system runs a key at most once,
        so a call whose connection was lost may be repeated. After an error response the
        call is repeated only if the error has a `retry_after_s`, and only if its
        verdict says that the call did not run or a repeat with the same key may succeed
        or return the outcome.

        A `key` passed in by the caller may have been sent before, by an earlier run of
        the same program, so its requests are numbered only if `first_number` gives the
        number of the first one. Unnumbered requests get more cautious verdicts, since
        an earlier request with the key may have run.
        """
        if key is None:
            key, first_number = str(uuid7()), 1
        sent_headers = {**(headers or {}), **self.headers(), "Idempotency-Key": key}
        deadline = self.clock() + self.options.call_timeout_s
        pause_s = INITIAL_RETRY_PAUSE_S
        for repeats in itertools.count():
            if first_number is not None:
                sent_headers["Turmericusher-Attempt"] = str(first_number + repeats)
            address = await self.choose_address()
            url = f"http://{address}/v1/services/{service}/{path.lstrip('/')}"
            try:
                return await self.call_once(method, url, body, sent_headers, deadline)
            except (aiohttp.ClientError, TimeoutError, OSError) as error:
                failure = connection_lost_error(key, error)
            except RetryElsewhereError as error:
                failure = error.error
                pause_s = max(pause_s, failure.retry_after_s or 0.0)
            self.cool_down(address)
            if self.clock() + pause_s >= deadline:
                raise failure
            await asyncio.sleep(pause_s)
            pause_s = min(pause_s * 2, MAX_RETRY_PAUSE_S)
        raise AssertionError("unreachable: the repeat counter is infinite")

    async def call_once(
        self,
        method: str,
        url: str,
        body: bytes,
        headers: Mapping[str, str],
        deadline: float,
    ) -> CallResult:
        """Send a call over one connection and return its result.

        Raises the error in an error response, wrapped in `RetryElsewhereError` if the
        call may be repeated. With `SendProgress` the trace of the session keeps aiohttp
        from sending the request again by itself after a lost connection.
        """
        timeout = aiohttp.ClientTimeout(
            total=max(0.01, deadline - self.clock()), sock_connect=CONNECT_TIMEOUT_S
        )
        async with self.session.request(
            method,
            url,
            data=body,
            headers=headers,
            timeout=timeout,
            trace_request_ctx=SendProgress(),
        ) as response:
            data = await response.read()
            error = parse_error(data) if response.status >= 400 else None
            if error is None:
                return CallResult(response.status, data, dict(response.headers))
            has_not_run = error.verdict is Verdict.NOT_RUN
            is_repeatable_code = error.code in REPEATABLE_WITH_SAME_KEY
            can_be_repeated = has_not_run or is_repeatable_code
            if can_be_repeated and error.retry_after_s is not None:
                raise RetryElsewhereError(error)
            raise error

    def headers(self) -> dict[str, str]:
        """Return the headers that identify the caller and name the profile."""
        options = self.options
        headers = {"Content-Type": "application/json"}
        if options.profile:
            headers["Turmericusher-Profile"] = options.profile
        if options.team:
            headers["Turmericusher-Team"] = options.team
        if options.token:
            headers["Authorization"] = f"Bearer {options.token}"
        return headers


@asynccontextmanager
async def open_client(
    options: ClientOptions, seed: int | None = None
) -> AsyncIterator[Client]:
    """Open a client and close its connections on exit.

    Without a `seed`, each client spreads its requests over the entry points by its own
    random choices. Connections are not reused, as `single_send_trace` requires.
    """
    rng = random.Random(uuid.uuid4().int if seed is None else seed)
    connector = aiohttp.TCPConnector(limit=0, force_close=True)
    async with aiohttp.ClientSession(
        connector=connector, trace_configs=[single_send_trace()]
    ) as session:
        yield Client(options, session, rng)


def connection_lost_error(key: str, error: Exception) -> TurmericusherError:
    """Return the error for a call whose connection was lost."""
    return UpstreamError(
        ErrorCode.UPSTREAM_FAILED,
        f"connection lost ({error!r}); repeat the call with Idempotency-Key={key!r}",
        verdict=Verdict.MAY_HAVE_RUN,
        retry_after_s=FAILURE_COOLDOWN_S,
    )
