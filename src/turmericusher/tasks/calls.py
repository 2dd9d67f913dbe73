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
from turmericusher.decisions.placing.selection import PickRequest, Selector
from turmericusher.decisions.retrying.retries import RetryBudget
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
    hash_parts,
    verdict_before_claim,
)
from turmericusher.tasks.claims import Claims

ANSWER_GRACE_S = 60.0
"""Seconds to keep waiting for an answer after the caller was told to repeat the call.

The answer that arrives in this time is stored for the repeated request.
"""

RETRY_AFTER_S = 1.0
MIN_ATTEMPT_TIMEOUT_S = 0.5
"""Seconds that an attempt gets at least, as far as the deadline allows."""
INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.5


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
class CallProgress:
    """Tells the waiting request whether its call, in a task of its own, was sent.

    `claim` is None until the call holds its claim.
    """

    claim: HeldClaim | None = None

    @property
    def is_sent(self) -> bool:
        """Whether bytes of the call may have left this process."""
        return self.claim is not None and self.claim.is_sent


@dataclass(slots=True)
class RetryState:
    """The state of a call's attempts at successive upstreams.

    `deadline` is the event loop's time in seconds after which no attempt starts.
    `excluded` names the upstreams that failed the call. `backoff_s` is the next pause,
    in seconds, when every upstream has failed it.
    """

    deadline: float
    excluded: set[str] = field(default_factory=set)
    backoff_s: float = INITIAL_BACKOFF_S


CallAdmission = Callable[
    [ServiceCall, Profile, float], AbstractAsyncContextManager[None]
]
"""Opens a context that holds an admission slot for a call until it ends.

The last argument is the deadline in the event loop's time. Entering the context raises
`TurmericusherError` when the call is refused.
"""


def admit_always(
    _call: ServiceCall, _profile: Profile, _deadline: float
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
    get_profile: Callable[[str], Profile]
    random: random.Random
    retry_budget: RetryBudget = field(default_factory=RetryBudget)
    admit: CallAdmission = admit_always
    running: set[asyncio.Task[CallAnswer]] = field(default_factory=set)

    async def run(self, call: ServiceCall) -> CallAnswer:
        """Return the answer to a call; raise `TurmericusherError` with its verdict."""
        async with AsyncExitStack() as stack:
            try:
                profile = self.resolve_profile(call)
                deadline = asyncio.get_running_loop().time() + profile.max_wait_s
                slot = self.admit(call, profile, deadline)
                await stack.enter_async_context(slot)
            except TurmericusherError as error:
                if call.key is not None and error.verdict is Verdict.NOT_RUN:
                    error.verdict = verdict_before_claim(call.number)
                raise
            if profile.idempotent:
                return await self.run_idempotent(call, profile, deadline)
            return await self.run_at_most_once(call, profile, deadline)

    def resolve_profile(self, call: ServiceCall) -> Profile:
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
        return self.get_profile(call.profile or service.default_profile)

    def plain_services(self) -> list[str]:
        """Return the names of the plain services in the settings."""
        kind = UpstreamKind.SERVICE
        return [name for name, service in self.services.items() if service.kind is kind]

    async def run_idempotent(
        self, call: ServiceCall, profile: Profile, deadline: float
    ) -> CallAnswer:
        """Send a call to one upstream after another until one answers it.

        The attempts are limited by the profile's `max_attempts`, by the deadline and,
        for those that follow an attempt that may have run, by the retry budget.
        """
        clock = asyncio.get_running_loop().time
        self.retry_budget.record_request(clock())
        retry_state = RetryState(deadline)
        verdict = Verdict.NOT_RUN
        failure: UpstreamError | None = None
        for _ in range(profile.max_attempts):
            upstream = await self.next_upstream(call, retry_state)
            if upstream is None:
                break
            try:
                timeout_s = attempt_timeout(retry_state.deadline)
                return CallAnswer(await self.send(upstream, call, timeout_s))
            except UpstreamError as error:
                failure = error
                retry_state.excluded.add(upstream.name)
            if failure.verdict is Verdict.RAN:
                raise failure
            if failure.verdict is Verdict.MAY_HAVE_RUN:
                verdict = Verdict.MAY_HAVE_RUN
                if not self.retry_budget.spend(clock()):
                    break
        raise no_answer_error(call, failure, verdict)

    async def run_at_most_once(
        self, call: ServiceCall, profile: Profile, deadline: float
    ) -> CallAnswer:
        """Run a call under its claim and return the answer.

        The call has a task of its own, so that it continues when its caller disconnects
        or is told to repeat the request; the repeated request then finds the answer.
        """
        request = build_claim_request(call, deadline)
        progress = CallProgress()
        task = asyncio.create_task(self.run_claimed(call, profile, request, progress))
        self.running.add(task)
        task.add_done_callback(self.on_task_done)
        await asyncio.wait({task}, timeout=remaining_s(deadline))
        if progress.is_sent and not task.done():
            raise UpstreamError(
                ErrorCode.WAIT_EXCEEDED,
                f"service={call.service!r} did not answer within the wait of profile "
                f"{profile.name!r}; repeat the request with the same key",
                verdict=Verdict.MAY_HAVE_RUN,
                retry_after_s=RETRY_AFTER_S,
            )
        return await asyncio.shield(task)

    def on_task_done(self, task: asyncio.Task[CallAnswer]) -> None:
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
        progress: CallProgress,
    ) -> CallAnswer:
        """Claim the key, send the call and store its answer with the claim."""
        async with claimed(self.claims, request) as claim:
            if claim.stored_answer is not None:
                return CallAnswer(decode_answer(claim.stored_answer), is_repeat=True)
            progress.claim = claim
            answer = await self.send_at_most_once(call, profile, claim)
            claim.set_answer(encode_answer(answer))
            return CallAnswer(answer)

    async def send_at_most_once(
        self, call: ServiceCall, profile: Profile, claim: HeldClaim
    ) -> ServiceAnswer:
        """Send a claimed call; try another upstream only when no byte was sent."""
        retry_state = RetryState(claim.request.deadline)
        failure: UpstreamError | None = None
        for _ in range(profile.max_attempts):
            upstream = await self.next_upstream(call, retry_state)
            if upstream is None:
                break
            claim.begin_send()
            timeout_s = remaining_s(retry_state.deadline) + ANSWER_GRACE_S
            try:
                return await self.send(upstream, call, timeout_s)
            except UpstreamError as error:
                failure = error
            if failure.verdict is Verdict.RAN:
                claim.mark_run()
            if failure.verdict is not Verdict.NOT_RUN:
                raise failure
            claim.mark_unsent()
            retry_state.excluded.add(upstream.name)
        raise no_answer_error(call, failure, Verdict.NOT_RUN)

    async def send(
        self, upstream: UpstreamInstance, call: ServiceCall, timeout_s: float
    ) -> ServiceAnswer:
        """Send a call to one upstream, and count it as in flight there meanwhile."""
        self.selector.attempt_started(upstream.name)
        try:
            return await self.port.send(upstream, call.outgoing, timeout_s)
        except UpstreamError as error:
            if error.verdict is not Verdict.RAN:
                self.selector.failed(upstream.name)
            raise
        finally:
            self.selector.attempt_finished(upstream.name)

    async def next_upstream(
        self, call: ServiceCall, retry_state: RetryState
    ) -> UpstreamInstance | None:
        """Return an upstream that has not failed the call; None at the deadline.

        When every upstream has failed it, all become eligible again after a pause.
        """
        request = PickRequest(call.service)
        while remaining_s(retry_state.deadline) > 0:
            upstream = self.selector.pick(
                replace(request, excluded=frozenset(retry_state.excluded))
            )
            if upstream is not None:
                return upstream
            retry_state.excluded.clear()
            pause_s = retry_state.backoff_s * (0.5 + self.random.random())
            retry_state.backoff_s = min(MAX_BACKOFF_S, 2 * retry_state.backoff_s)
            await asyncio.sleep(min(pause_s, remaining_s(retry_state.deadline)))
        return None


@asynccontextmanager
async def draining_calls(calls: CallRunner, limit_s: float) -> AsyncIterator[None]:
    """On exit, wait up to `limit_s` seconds for running calls, then cancel them.

    Calls may outlive their requests. The outcome of a cancelled call is recorded as
    "may have run".
    """
    try:
        yield
    finally:
        if calls.running:
            _, unfinished = await asyncio.wait(set(calls.running), timeout=limit_s)
            for task in unfinished:
                task.cancel()
            await asyncio.gather(*unfinished, return_exceptions=True)


def build_claim_request(call: ServiceCall, deadline: float) -> ClaimRequest:
    """Return the claim request of a call; raise when its idempotency key is invalid."""
    return ClaimRequest(
        key=parse_key(call.key),
        number=call.number,
        body_hash=hash_call(call),
        deadline=deadline,
        answer_grace_s=ANSWER_GRACE_S,
    )


def hash_call(call: ServiceCall) -> str:
    """Return a hash that is equal for equal calls of the same team only."""
    outgoing = call.outgoing
    parts = (call.team, call.service, outgoing.method, outgoing.target)
    return hash_parts((*(text.encode() for text in parts), outgoing.body))


def remaining_s(deadline: float) -> float:
    """Return the seconds until a deadline in the event loop's time, at least 0."""
    return max(0.0, deadline - asyncio.get_running_loop().time())


def attempt_timeout(deadline: float) -> float:
    """Return the timeout of one attempt in seconds: half of the remaining time.

    The other half is left for another upstream in case this one hangs.
    """
    remaining = remaining_s(deadline)
    return min(remaining, max(MIN_ATTEMPT_TIMEOUT_S, remaining / 2))


def no_answer_error(
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
