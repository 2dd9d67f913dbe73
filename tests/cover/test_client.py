"""The client library against entry instances that fail."""

from __future__ import annotations

import asyncio
import enum
from collections.abc import AsyncIterator, Sequence
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field, replace
from typing import Any

import orjson
from aiohttp import web
from parameterized import parameterized
from testtools import TestCase
from uuid6 import uuid7

from tests.common.engines import PROMPT, VOCABULARY, decode_tokens, expected_tokens
from turmericusher.api.errors import error_body
from turmericusher.client import Client, ClientOptions, open_client
from turmericusher.errors import ErrorCode, TurmericusherError, Verdict

LENGTH = 12
ANSWER = expected_tokens(PROMPT, LENGTH)
BODY = {"model": "model", "prompt": "write", "max_tokens": LENGTH}
HEARTBEAT_TIMEOUT_S = 0.25


class EntryFault(enum.StrEnum):
    NONE = "none"
    REFUSE = "refuse"
    STOPPING = "stopping"
    RESET = "reset"
    END = "end"
    STALL = "stall"
    LATE = "late"
    INTERRUPTED = "interrupted"
    GARBLED = "garbled"


@dataclass(slots=True)
class FakeEntries:
    """The handlers of all entry instances; the n-th request has the n-th fault.

    A fault of a completion occurs at token `at_token`. `errors` are the errors of the
    coming calls, None for a success. `gap_s` is the time between two tokens.
    """

    faults: list[EntryFault] = field(default_factory=list)
    at_token: int = 0
    errors: list[TurmericusherError | None] = field(default_factory=list)
    gap_s: float = 0.0
    bodies: list[dict[str, Any]] = field(default_factory=list)
    calls: list[tuple[str, str | None]] = field(default_factory=list)
    addresses: list[str] = field(default_factory=list)

    async def entry_points(self, _request: web.Request) -> web.Response:
        entries = [
            {"name": address, "address": address, "failure_domain": "d"}
            for address in self.addresses
        ]
        return web.json_response({"entrypoints": entries, "ttl_s": 60})

    async def complete(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        self.bodies.append(body)
        fault = self.faults.pop(0) if self.faults else EntryFault.NONE
        if fault is EntryFault.REFUSE:
            request.transport.abort()  # type: ignore[union-attr]
        if fault is EntryFault.STOPPING:
            return refusal_response(ErrorCode.INSTANCE_STOPPING, Verdict.NOT_RUN)
        response = web.StreamResponse()
        await response.prepare(request)
        received = body.get("turmericusher_resume", {}).get("token_ids", [])
        for number in range(len(received), LENGTH):
            if fault is not EntryFault.NONE and number >= self.at_token:
                await self.inject_fault(fault, request, response, number)
                return response
            await asyncio.sleep(self.gap_s)
            await response.write(b": heartbeat\n\n" + event(number, len(received)))
        await response.write(b"data: [DONE]\n\n")
        return response

    async def inject_fault(
        self,
        fault: EntryFault,
        request: web.Request,
        response: web.StreamResponse,
        number: int,
    ) -> None:
        """Fail a response before the token `number`, in the way of the fault."""
        if fault is EntryFault.RESET:
            request.transport.abort()  # type: ignore[union-attr]
        elif fault is EntryFault.STALL:
            await asyncio.sleep(HEARTBEAT_TIMEOUT_S * 8)
        elif fault is EntryFault.LATE:
            await asyncio.sleep(HEARTBEAT_TIMEOUT_S * 2)
            await response.write(event(number, 0) * 3)
        elif fault is EntryFault.GARBLED:
            await response.write(b"data: {garbled\n\n")
        elif fault is EntryFault.INTERRUPTED:
            error = make_error(ErrorCode.ANSWER_INTERRUPTED, Verdict.MAY_HAVE_RUN)
            await response.write(b"data: " + orjson.dumps(error_body(error)) + b"\n\n")

    async def call(self, request: web.Request) -> web.Response:
        headers = request.headers
        self.calls.append(
            (headers["Idempotency-Key"], headers.get("Turmericusher-Attempt"))
        )
        if self.faults and self.faults.pop(0) is EntryFault.REFUSE:
            request.transport.abort()  # type: ignore[union-attr]
        error = self.errors.pop(0) if self.errors else None
        if error is not None:
            return web.json_response(error_body(error), status=503)
        return web.Response(body=b"booked")


def event(number: int, start: int) -> bytes:
    """Return the chunk of one token in an answer that began at token `start`.

    It is written as an entry instance writes it: the first chunk of a response also has
    the prompt's tokens and the version.
    """
    token = ANSWER[number]
    is_last = number == LENGTH - 1
    choice: dict[str, Any] = {
        "index": 0,
        "text": VOCABULARY[token],
        "token_ids": [token],
        "finish_reason": "length" if is_last else None,
    }
    chunk: dict[str, Any] = {"choices": [choice]}
    if number == start:
        choice["prompt_token_ids"] = PROMPT
        chunk["turmericusher"] = {"version": "v1"}
    return b"data: " + orjson.dumps(chunk) + b"\n\n"


def make_error(
    code: ErrorCode, verdict: Verdict, retry_after_s: float | None = 0.01
) -> TurmericusherError:
    return TurmericusherError(
        code, "injected error", verdict=verdict, retry_after_s=retry_after_s
    )


def refusal_response(code: ErrorCode, verdict: Verdict) -> web.Response:
    return web.json_response(error_body(make_error(code, verdict)), status=503)


@asynccontextmanager
async def running_client(entries: FakeEntries) -> AsyncIterator[Client]:
    """Run two entry instances, and a client that knows the first as its seed."""
    async with AsyncExitStack() as stack:
        for _ in range(2):
            app = web.Application()
            app.router.add_get("/v1/entrypoints", entries.entry_points)
            app.router.add_post("/v1/completions", entries.complete)
            app.router.add_route("*", "/v1/services/ledger/book", entries.call)
            runner = web.AppRunner(app, shutdown_timeout=0.1)
            await runner.setup()
            stack.push_async_callback(runner.cleanup)
            await web.TCPSite(runner, "127.0.0.1", 0).start()
            host, port = runner.addresses[0][:2]
            entries.addresses.append(f"{host}:{port}")
        options = ClientOptions(
            seeds=(entries.addresses[0],),
            heartbeat_timeout_s=HEARTBEAT_TIMEOUT_S,
            resume_limit_s=20.0,
            call_timeout_s=20.0,
        )
        yield await stack.enter_async_context(open_client(options, seed=1))


FAULT_CASES = [
    (f"{fault}_{at_token}", fault, at_token)
    for fault in EntryFault
    for at_token in (0, 1, LENGTH // 2, LENGTH - 1)
]


class ClientStreamTest(TestCase):
    @parameterized.expand(FAULT_CASES)
    def test_an_answer_is_whole_whatever_fault_the_instance_has(
        self, name: str, fault: EntryFault, at_token: int
    ) -> None:
        entries = FakeEntries([fault], at_token)

        async def complete() -> None:
            async with running_client(entries) as client:
                answer = await client.complete(BODY)
                self.assertEqual(ANSWER, answer.token_ids)
                self.assertEqual(decode_tokens(ANSWER), answer.text)
                self.assertEqual("length", answer.finish_reason)
                self.assertEqual(fault is not EntryFault.NONE, answer.resumes == 1)

        asyncio.run(complete())
        resume = entries.bodies[-1].get("turmericusher_resume")
        has_tokens = at_token > 0 and fault not in (
            EntryFault.NONE,
            EntryFault.REFUSE,
            EntryFault.STOPPING,
        )
        self.assertEqual(has_tokens, resume is not None)
        if resume is not None:
            self.assertEqual(ANSWER[:at_token], resume["token_ids"])
            self.assertEqual(list(PROMPT), resume["prompt_token_ids"])
            self.assertEqual("v1", resume["version"])

    def test_an_answer_survives_two_instance_deaths_in_a_row(self) -> None:
        entries = FakeEntries([EntryFault.RESET, EntryFault.END], LENGTH // 2)

        async def complete() -> Sequence[int]:
            async with running_client(entries) as client:
                return (await client.complete(BODY)).token_ids

        self.assertEqual(ANSWER, asyncio.run(complete()))

    def test_a_seed_is_used_when_a_failed_instance_lists_only_itself(self) -> None:
        entries = FakeEntries([EntryFault.RESET], LENGTH // 2)

        async def complete() -> list[str]:
            async with running_client(entries) as client:
                first, other = entries.addresses
                entries.addresses = [first]
                seeds = (first, other)
                client.options = replace(client.options, seeds=seeds)
                await client.complete(BODY)
                return [first, *client.entry_points.cooldowns]

        first, *cooldowns = asyncio.run(complete())
        self.assertEqual([first], cooldowns)

    def test_heartbeats_keep_an_instance_with_a_slow_engine_from_being_left(
        self,
    ) -> None:
        entries = FakeEntries(gap_s=HEARTBEAT_TIMEOUT_S / 5)

        async def complete() -> int:
            async with running_client(entries) as client:
                return (await client.complete(BODY)).resumes

        self.assertEqual(0, asyncio.run(complete()))


class ClientCallTest(TestCase):
    def run_call(self, entries: FakeEntries, **options: Any) -> bytes:
        async def call() -> bytes:
            async with running_client(entries) as client:
                return (await client.call("ledger", "book", b"{}", **options)).body

        return asyncio.run(call())

    @parameterized.expand(
        [
            ("lost_connection", [EntryFault.REFUSE], []),
            (
                "not_run",
                [],
                [make_error(ErrorCode.STORE_UNAVAILABLE, Verdict.NOT_RUN)],
            ),
            (
                "in_progress",
                [],
                [make_error(ErrorCode.REQUEST_IN_PROGRESS, Verdict.MAY_HAVE_RUN)],
            ),
            (
                "store_down_at_a_repeat",
                [],
                [make_error(ErrorCode.STORE_UNAVAILABLE, Verdict.MAY_HAVE_RUN)],
            ),
            (
                "still_running",
                [],
                [make_error(ErrorCode.WAIT_EXCEEDED, Verdict.MAY_HAVE_RUN)],
            ),
        ]
    )
    def test_a_safe_repeat_has_the_same_key_and_the_next_number(
        self,
        name: str,
        faults: list[EntryFault],
        errors: list[TurmericusherError | None],
    ) -> None:
        entries = FakeEntries(list(faults), errors=list(errors))
        self.assertEqual(b"booked", self.run_call(entries))
        keys = {key for key, _ in entries.calls}
        self.assertEqual(1, len(keys))
        self.assertEqual(["1", "2"], [number for _, number in entries.calls])

    @parameterized.expand(
        [
            ("without_a_number", None, [None, None]),
            ("from_number_three", 3, ["3", "4"]),
        ]
    )
    def test_a_callers_own_key_is_repeated_with_its_numbers(
        self, name: str, first_number: int | None, expected: list[str | None]
    ) -> None:
        entries = FakeEntries([EntryFault.REFUSE])
        self.run_call(entries, key=str(uuid7()), first_number=first_number)
        self.assertEqual(expected, [number for _, number in entries.calls])

    @parameterized.expand([("PUT",), ("DELETE",), ("GET",)])
    def test_each_request_of_any_method_has_its_own_number(self, method: str) -> None:
        entries = FakeEntries([EntryFault.REFUSE])
        self.run_call(entries, method=method)
        self.assertEqual(["1", "2"], [number for _, number in entries.calls])

    @parameterized.expand(
        [
            (
                "may_have_run",
                make_error(ErrorCode.UPSTREAM_FAILED, Verdict.MAY_HAVE_RUN),
            ),
            ("final", make_error(ErrorCode.KEY_REUSED, Verdict.NOT_RUN, None)),
        ]
    )
    def test_an_error_that_a_repeat_cannot_resolve_is_raised(
        self, name: str, error: TurmericusherError
    ) -> None:
        entries = FakeEntries(errors=[error])
        try:
            self.run_call(entries)
        except TurmericusherError as raised:
            self.assertIs(error.code, raised.code)
            self.assertIs(error.verdict, raised.verdict)
        else:
            self.fail("the call raised no error")
        self.assertEqual(1, len(entries.calls))
