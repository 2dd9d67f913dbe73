"""Plain service calls: each call from its arrival to its answer.

A call under an idempotent profile is retried at other upstreams within the profile's
maximum wait and a retry budget. A call under a non-idempotent profile runs under a
claim, and is never sent again once a connection was established.
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
"""Seconds to keep waiting for an answer after the caller was told to repeat the call.

The answer that arrives in this time is stored for the repeated request.
"""

RETRY_AFTER_S = 1.0
SHORTEST_ATTEMPT_S = 0.5
"""Seconds that an attempt gets at least, as far as the deadline allows."""
FIRST_PAUSE_S = 0.05
LONGEST_PAUSE_S = 0.5


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """One call to a plain service, as received from its caller.

    `profile` is empty when the caller named none. `key` is the caller's idempotency
    key, and `number` counts the caller's requests with this key from 1; they are None
    and `UNNUMBERED` when the caller sent none.
    """

    service: str
    team: str
    profile: str
    outgoing: OutgoingCall
    key: str | None = None
    number: int = UNNUMBERED


@dataclass(frozen=True, slots=True)
class CallAnswer:
    """An answer for the caller.

    `is_repeat` marks the stored answer of an earlier request with the same key.
    """

    answer: ServiceAnswer
    is_repeat: bool = False


@dataclass(slots=True)
class SentMark:
    """Tells the waiting request whether its call, in a task of its own, was sent.

    `claim` is None until the call holds its claim.
    """

    claim: HeldClaim | None = None

    @property
    def is_sent(self) -> bool:
        """Whether bytes of the call may have left this process."""
        return self.claim is not None and self.claim.is_sent


@dataclass(slots=True)
class UpstreamChoice:
    """The state of a call's attempts at successive upstreams.

    `deadline` is the event loop's time in seconds after which no attempt starts.
    `excluded` names the upstreams that failed the call. `backoff_s` is the next pause,
    in seconds, when every upstream has failed it.
    """

    give_up_at: float
    excluded: set[str] = field(default_factory=set)
    pause_s: float = FIRST_PAUSE_S


CallAdmission = Callable[
    [ServiceCall, Profile, float], AbstractAsyncContextManager[None]
]
"""Opens a context that holds an admission slot for a call until it ends.

The last argument is the deadline in the event loop's time. Entering the context raises
`TurmericusherError` when the call is refused.
"""


def admit_always(
    _call: ServiceCall, _profile: Profile, _give_up_at: float
) -> AbstractAsyncContextManager[None]:
    """Admit every call without a slot."""
    return nullcontext()


@dataclass(slots=True)
class CallRunner:
    """Runs the plain service calls of one entry instance.

    `get_profile` returns the profile in force under a name, or raises
    `RequestRefusedError`. `running` holds the tasks of claimed calls, which may outlive
    the requests that started them.
    """

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
        """Return the answer to a call; raise `TurmericusherError` with its verdict."""
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
        """Return the profile that applies to a call: the named one or the default.

        Raises `RequestRefusedError` when the service is not a plain service.
        """
        service = self.services.get(call.service)
        if service is None or service.kind is not UpstreamKind.SERVICE:
            raise RequestRefusedError(
                ErrorCode.UNKNOWN_SERVICE,
                f"service={call.service!r} is not a plain service in the settings; "
                f"use one of {sorted(self.plain_services())!r}",
            )
        return self.profile_named(call.profile or service.default_profile)

    def plain_services(self) -> list[str]:
        """Return the names of the plain services in the settings."""
        kind = UpstreamKind.SERVICE
        return [name for name, service in self.services.items() if service.kind is kind]

    async def run_idempotent(
        self, call: ServiceCall, profile: Profile, give_up_at: float
    ) -> CallAnswer:
        """Send a call to one upstream after another until one answers it.

        The attempts are limited by the profile's `max_attempts`, by the deadline and,
        for those that follow an attempt that may have run, by the retry budget.
        """
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
        """Run a call under its claim and return the answer.

        The call has a task of its own, so that it continues when its caller disconnects
        or is told to repeat the request; the repeated request then finds the answer.
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
        """Forget a finished call and mark its exception as retrieved.

        Its caller may be gone, and asyncio would log the exception as never retrieved.
        """
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
        """Claim the key, send the call and store its answer with the claim."""
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
        """Send a claimed call; try another upstream only when no byte was sent."""
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
        """Send a call to one upstream, and count it as in flight there meanwhile."""
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
        """Return an upstream that has not failed the call; None at the deadline.

        When every upstream has failed it, all become eligible again after a pause.
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
    """On exit, wait up to `limit_s` seconds for running calls, then cancel them.

    Calls may outlive their requests. The outcome of a cancelled call is recorded as
    "may have run".
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
    """Return the claim request of a call; raise when its idempotency key is invalid."""
    return ClaimRequest(
        key=parse_key(call.key),
        number=call.number,
        body_hash=hash_of_call(call),
        give_up_at=give_up_at,
        run_limit_s=RUN_GRACE_S,
    )


def hash_of_call(call: ServiceCall) -> str:
    """Return a hash that is equal for equal calls of the same team only."""
    outgoing = call.outgoing
    parts = (call.team, call.service, outgoing.method, outgoing.target)
    return hash_of_request((*(text.encode() for text in parts), outgoing.body))


def remaining_s(give_up_at: float) -> float:
    """Return the seconds until a deadline in the event loop's time, at least 0."""
    return max(0.0, give_up_at - asyncio.get_running_loop().time())


def attempt_timeout(give_up_at: float) -> float:
    """Return the timeout of one attempt in seconds: half of the remaining time.

    The other half is left for another upstream in case this one hangs.
    """
    left = remaining_s(give_up_at)
    return min(left, max(SHORTEST_ATTEMPT_S, left / 2))


def exhausted(
    call: ServiceCall, failure: UpstreamError | None, verdict: Verdict
) -> TurmericusherError:
    """Return the error for a call that no upstream answered.

    `failure` is the error of the last attempt, None when no upstream was available.
    """
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
    """Return an answer in the encoding that is stored with its claim."""
    body = base64.b64encode(answer.body).decode("ascii")
    return orjson.dumps([answer.status, answer.headers, body]).decode()


def decode_answer(text: str) -> ServiceAnswer:
    """Return the answer that `encode_answer` encoded."""
    status, headers, body = orjson.loads(text)
    pairs = tuple((str(name), str(value)) for name, value in headers)
    return ServiceAnswer(int(status), pairs, base64.b64decode(body))
