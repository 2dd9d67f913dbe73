"""Plain service calls: one call from its arrival to its answer.

An idempotent call is repeated at other upstreams within its profile's wait and a
retry budget. A non-idempotent one runs under a claim and is never sent again once a
connection stood.
"""

from __future__ import annotations

import asyncio
import base64
import random
from collections.abc import AsyncIterator, Callable, Mapping
from contextlib import (
    AbstractAsyncContextManager,
    AsyncExitStack,
    asynccontextmanager,
    nullcontext,
)
from dataclasses import dataclass, field, replace

import orjson

from turmericusher.decisions.claims import UNNUMBERED
from turmericusher.decisions.fleet import UpstreamInstance, UpstreamKind
from turmericusher.decisions.idempotency_keys import parse_key
from turmericusher.decisions.retries import RetryBudget
from turmericusher.decisions.selection import PickRequest, Selector
from turmericusher.errors import (
    ErrorCode,
    RequestRefusedError,
    TurmericusherError,
    UpstreamError,
    Verdict,
)
from turmericusher.ports.services import OutgoingCall, ServiceAnswer, ServicePort
from turmericusher.profiles import Profile
from turmericusher.settings import Service
from turmericusher.tasks.claimed import (
    ClaimRequest,
    HeldClaim,
    claimed,
    hash_of_request,
    verdict_before_claim,
)
from turmericusher.tasks.claims import Claims

RUN_GRACE_S = 60.0
"""Seconds for which an answer is awaited after its caller was told to repeat."""

RETRY_AFTER_S = 1.0
SHORTEST_ATTEMPT_S = 0.5
FIRST_PAUSE_S = 0.05
LONGEST_PAUSE_S = 0.5


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """One call as it arrived.

    `profile` is empty when the caller named none. `key` and `number` are the caller's
    idempotency key and its count of requests with this key, where given.
    """

    service: str
    team: str
    profile: str
    outgoing: OutgoingCall
    key: str | None = None
    number: int = UNNUMBERED


@dataclass(frozen=True, slots=True)
class CallAnswer:
    """An answer for the caller; `is_repeat` marks an earlier request's answer."""

    answer: ServiceAnswer
    is_repeat: bool = False


@dataclass(slots=True)
class SentMark:
    """Shows the waiting request what its running call has come to."""

    claim: HeldClaim | None = None

    @property
    def is_sent(self) -> bool:
        """Whether bytes may have left."""
        return self.claim is not None and self.claim.is_sent


@dataclass(slots=True)
class UpstreamChoice:
    """The upstreams that failed a call, and how long to pause when all did."""

    give_up_at: float
    excluded: set[str] = field(default_factory=set)
    pause_s: float = FIRST_PAUSE_S


CallAdmission = Callable[
    [ServiceCall, Profile, float], AbstractAsyncContextManager[None]
]
"""Holds a slot for a call that gives up at a monotonic time, or refuses it."""


def admit_always(
    _call: ServiceCall, _profile: Profile, _give_up_at: float
) -> AbstractAsyncContextManager[None]:
    """Admit every call."""
    return nullcontext()


@dataclass(slots=True)
class CallRunner:
    """Runs plain calls; one for each entry instance."""

    port: ServicePort
    claims: Claims
    selector: Selector
    services: Mapping[str, Service]
    profile_named: Callable[[str], Profile]
    random: random.Random
    budget: RetryBudget = field(default_factory=RetryBudget)
    admit: CallAdmission = admit_always
    running: set[asyncio.Task[CallAnswer]] = field(default_factory=set)

    async def run(self, call: ServiceCall) -> CallAnswer:
        """Return the answer of a call; raise `TurmericusherError` with its verdict."""
        async with AsyncExitStack() as stack:
            try:
                profile = self.profile_of(call)
                give_up_at = asyncio.get_running_loop().time() + profile.max_wait_s
                slot = self.admit(call, profile, give_up_at)
                await stack.enter_async_context(slot)
            except TurmericusherError as error:
                if call.key is not None and error.verdict is Verdict.NOT_RUN:
                    error.verdict = verdict_before_claim(call.number)
                raise
            if profile.idempotent:
                return await self.run_idempotent(call, profile, give_up_at)
            return await self.run_at_most_once(call, profile, give_up_at)

    def profile_of(self, call: ServiceCall) -> Profile:
        """Return the profile that applies to a call."""
        service = self.services.get(call.service)
        if service is None or service.kind is not UpstreamKind.SERVICE:
            raise RequestRefusedError(
                ErrorCode.UNKNOWN_SERVICE,
                f"service={call.service!r} is no plain service of the settings; "
                f"use one of {sorted(self.plain_services())!r}",
            )
        return self.profile_named(call.profile or service.default_profile)

    def plain_services(self) -> list[str]:
        """Return the names of the plain services."""
        kind = UpstreamKind.SERVICE
        return [name for name, service in self.services.items() if service.kind is kind]

    async def run_idempotent(
        self, call: ServiceCall, profile: Profile, give_up_at: float
    ) -> CallAnswer:
        """Send a call until an upstream answers it, within wait and budget."""
        self.budget.earn()
        choice = UpstreamChoice(give_up_at)
        verdict = Verdict.NOT_RUN
        failure: UpstreamError | None = None
        for _ in range(profile.max_attempts):
            upstream = await self.next_upstream(call, choice)
            if upstream is None:
                break
            try:
                timeout_s = attempt_timeout(choice.give_up_at)
                return CallAnswer(await self.send(upstream, call, timeout_s))
            except UpstreamError as error:
                failure = error
                choice.excluded.add(upstream.name)
            if failure.verdict is Verdict.RAN:
                raise failure
            if failure.verdict is Verdict.MAY_HAVE_RUN:
                verdict = Verdict.MAY_HAVE_RUN
                if not self.budget.spend():
                    break
        raise exhausted(call, failure, verdict)

    async def run_at_most_once(
        self, call: ServiceCall, profile: Profile, give_up_at: float
    ) -> CallAnswer:
        """Run a call under its claim.

        The call has a task of its own: it goes on when its caller hangs up or is told
        to repeat, so that the repeat finds the answer.
        """
        request = claim_request(call, give_up_at)
        mark = SentMark()
        task = asyncio.create_task(self.run_claimed(call, profile, request, mark))
        self.running.add(task)
        task.add_done_callback(self.forget)
        await asyncio.wait({task}, timeout=remaining_s(give_up_at))
        if mark.is_sent and not task.done():
            raise UpstreamError(
                ErrorCode.WAIT_EXCEEDED,
                f"service={call.service!r} did not answer within the wait of profile "
                f"{profile.name!r}; repeat the request with the same key",
                verdict=Verdict.MAY_HAVE_RUN,
                retry_after_s=RETRY_AFTER_S,
            )
        return await asyncio.shield(task)

    def forget(self, task: asyncio.Task[CallAnswer]) -> None:
        """Drop a finished call; its error was for a caller that may be gone."""
        self.running.discard(task)
        if not task.cancelled():
            task.exception()

    async def run_claimed(
        self,
        call: ServiceCall,
        profile: Profile,
        request: ClaimRequest,
        mark: SentMark,
    ) -> CallAnswer:
        """Claim the key, send the call and keep its answer."""
        async with claimed(self.claims, request) as claim:
            if claim.first_answer is not None:
                return CallAnswer(decode_answer(claim.first_answer), is_repeat=True)
            mark.claim = claim
            answer = await self.send_at_most_once(call, profile, claim)
            claim.keep_answer(encode_answer(answer))
            return CallAnswer(answer)

    async def send_at_most_once(
        self, call: ServiceCall, profile: Profile, claim: HeldClaim
    ) -> ServiceAnswer:
        """Send a claimed call; only a refused connection leads to another upstream."""
        choice = UpstreamChoice(claim.request.give_up_at)
        failure: UpstreamError | None = None
        for _ in range(profile.max_attempts):
            upstream = await self.next_upstream(call, choice)
            if upstream is None:
                break
            claim.begin_send()
            timeout_s = remaining_s(choice.give_up_at) + RUN_GRACE_S
            try:
                return await self.send(upstream, call, timeout_s)
            except UpstreamError as error:
                failure = error
            if failure.verdict is Verdict.RAN:
                claim.keep_as_run()
            if failure.verdict is not Verdict.NOT_RUN:
                raise failure
            claim.not_sent()
            choice.excluded.add(upstream.name)
        raise exhausted(call, failure, Verdict.NOT_RUN)

    async def send(
        self, upstream: UpstreamInstance, call: ServiceCall, timeout_s: float
    ) -> ServiceAnswer:
        """Send a call to one upstream, counted as in flight."""
        self.selector.started(upstream.name)
        try:
            return await self.port.send(upstream, call.outgoing, timeout_s)
        except UpstreamError as error:
            if error.verdict is not Verdict.RAN:
                self.selector.failed(upstream.name)
            raise
        finally:
            self.selector.finished(upstream.name)

    async def next_upstream(
        self, call: ServiceCall, choice: UpstreamChoice
    ) -> UpstreamInstance | None:
        """Return an upstream that has not failed the call; None when time is up.

        When every upstream failed it, all are tried again after a pause.
        """
        request = PickRequest(call.service)
        while remaining_s(choice.give_up_at) > 0:
            upstream = self.selector.pick(
                replace(request, excluded=frozenset(choice.excluded))
            )
            if upstream is not None:
                return upstream
            choice.excluded.clear()
            pause_s = choice.pause_s * (0.5 + self.random.random())
            choice.pause_s = min(LONGEST_PAUSE_S, 2 * choice.pause_s)
            await asyncio.sleep(min(pause_s, remaining_s(choice.give_up_at)))
        return None


@asynccontextmanager
async def finishing_calls(calls: CallRunner, limit_s: float) -> AsyncIterator[None]:
    """Let calls that outlive their requests end, at most `limit_s`, then cancel them.

    A cancelled call is recorded as one that may have run.
    """
    try:
        yield
    finally:
        if calls.running:
            _, late = await asyncio.wait(set(calls.running), timeout=limit_s)
            for task in late:
                task.cancel()
            await asyncio.gather(*late, return_exceptions=True)


def claim_request(call: ServiceCall, give_up_at: float) -> ClaimRequest:
    """Return the claim that a call needs; raise when its key is no key."""
    return ClaimRequest(
        key=parse_key(call.key),
        number=call.number,
        body_hash=hash_of_call(call),
        give_up_at=give_up_at,
        run_limit_s=RUN_GRACE_S,
    )


def hash_of_call(call: ServiceCall) -> str:
    """Return a hash that is equal for equal calls of one team."""
    outgoing = call.outgoing
    parts = (call.team, call.service, outgoing.method, outgoing.target)
    return hash_of_request((*(text.encode() for text in parts), outgoing.body))


def remaining_s(give_up_at: float) -> float:
    """Return the seconds that are left of a wait."""
    return max(0.0, give_up_at - asyncio.get_running_loop().time())


def attempt_timeout(give_up_at: float) -> float:
    """Return the seconds for one attempt, half of what is left.

    An upstream that is frozen then leaves time for another one.
    """
    left = remaining_s(give_up_at)
    return min(left, max(SHORTEST_ATTEMPT_S, left / 2))


def exhausted(
    call: ServiceCall, failure: UpstreamError | None, verdict: Verdict
) -> TurmericusherError:
    """Return the error for a call that no upstream answered."""
    if failure is None:
        return RequestRefusedError(
            ErrorCode.NO_UPSTREAM,
            f"service={call.service!r} has no live upstream; repeat the request later",
            verdict=verdict,
            retry_after_s=RETRY_AFTER_S,
        )
    return UpstreamError(
        failure.code, failure.message, verdict=verdict, retry_after_s=RETRY_AFTER_S
    )


def encode_answer(answer: ServiceAnswer) -> str:
    """Return an answer as it is kept with its claim."""
    body = base64.b64encode(answer.body).decode("ascii")
    return orjson.dumps([answer.status, answer.headers, body]).decode()


def decode_answer(text: str) -> ServiceAnswer:
    """Return the answer that was kept."""
    status, headers, body = orjson.loads(text)
    pairs = tuple((str(name), str(value)) for name, value in headers)
    return ServiceAnswer(int(status), pairs, base64.b64decode(body))
