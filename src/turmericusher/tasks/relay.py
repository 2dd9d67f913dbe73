"""Runs relayed requests: one owner for each, and one task for each of its attempts.

The owner passes events to the request's decision logic and carries out the actions that
it returns. An attempt's task owns the connection to its upstream and reports to the
owner's inbox. Leaving `open_relay` ends all of these tasks, so that no upstream keeps
working for a caller that has gone.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from functools import partial, singledispatch
from typing import Any, TypeVar

from turmericusher.decisions.fleet import UpstreamInstance
from turmericusher.decisions.generation_messages import CancelAttempt, Fail
from turmericusher.decisions.relay import Relay, make_relay
from turmericusher.decisions.relay_messages import (
    AttemptCause,
    AttemptFailed,
    BorrowRetry,
    BreakStream,
    CheckHolder,
    ClaimTrial,
    CopyMemory,
    DeliverAnswer,
    EndHop,
    EndStream,
    EventArrived,
    FindVersion,
    HolderChecked,
    HopEnded,
    InstanceEnds,
    LoadsReported,
    MemoryCopied,
    MemoryCopy,
    ProbeUpstream,
    QueryLoads,
    RelayAction,
    RelayedRequest,
    RelayEvent,
    RelayOutput,
    ReleaseCopy,
    ReportQuery,
    ReportState,
    RetryLent,
    RunStopped,
    SettleRun,
    StartRelay,
    StoppedRun,
    StopRun,
    StreamTakenUp,
    TraitBlocked,
    TrialClaimed,
    UpstreamProbed,
    VersionFound,
)
from turmericusher.decisions.relay_state import RelayShared
from turmericusher.decisions.routing import RoutedRequest
from turmericusher.decisions.run_ends import LeftRelayRun, RunEnd
from turmericusher.decisions.stream_versions import SavedStream
from turmericusher.errors import Verdict
from turmericusher.logs import log_event
from turmericusher.ports.relay import RelayPort
from turmericusher.tasks.background import cancel_tasks
from turmericusher.tasks.crash_reports import CrashReports
from turmericusher.tasks.hop_leases import HopLeases
from turmericusher.tasks.reach_checks import ReachChecks
from turmericusher.tasks.relay_runs import RelayRunAsker, StopOrders, loop_time
from turmericusher.tasks.retry_lending import RetryLending
from turmericusher.tasks.run_ends import RunEndChecks
from turmericusher.tasks.stream_versions import StreamVersionExchange
from turmericusher.tasks.take_ups import TakeUps

INBOX_SIZE = 64
"""Events that an attempt's task may queue ahead of a caller that reads slowly."""

INBOX_BYTES = 131_072
"""Bytes of a stream's events up to which more may be queued: one event may have a
megabyte."""

LOAD_QUERY_TIMEOUT_S = 0.05
"""Seconds that candidates have to report their load. This covers several round trips
between failure domains and is short compared with the time to a first event."""

HelperAction = (
    ProbeUpstream
    | ClaimTrial
    | FindVersion
    | BorrowRetry
    | EndHop
    | QueryLoads
    | CopyMemory
    | CheckHolder
    | StopRun
)
"""Actions that are carried out beside a request, which waits for their results."""

A = TypeVar("A", bound=HelperAction)
HelperWork = Callable[[A], Coroutine[Any, Any, None]]

FINAL_OUTPUTS = (DeliverAnswer, EndStream, BreakStream, Fail)
"""Outputs after which the caller gets nothing more."""


@dataclass(slots=True)
class RelayContext:
    """The state that the relayed requests of one instance share.

    `pending_reports` holds the running query of each upstream by its address, so that
    concurrent callers wait for one query. `release_tasks` holds the tasks that release
    copies and those that `stop_orders` has begun, which may outlive the request that
    made the copy. `owners` are those of the requests in progress. `run_end_checks`
    finds out about runs that were left.
    """

    port: RelayPort
    shared: RelayShared
    crash_reports: CrashReports
    versions: StreamVersionExchange
    reach_checks: ReachChecks
    lending: RetryLending
    take_ups: TakeUps
    hops: HopLeases
    owners: set[RelayOwner] = field(default_factory=set)
    pending_reports: dict[str, asyncio.Task[ReportQuery]] = field(default_factory=dict)
    release_tasks: set[asyncio.Task[None]] = field(default_factory=set)
    stop_orders: StopOrders = field(init=False)
    run_end_checks: RunEndChecks[LeftRelayRun] = field(init=False)

    def __post_init__(self) -> None:
        """Start without any run that was left; streams are taken up from owners."""
        self.take_ups.owners = self.owners
        self.stop_orders = StopOrders(self.port, self.release_tasks)
        asker = RelayRunAsker(self.port, self.stop_orders, self.release)
        self.run_end_checks = RunEndChecks(self.shared.run_ends, asker, loop_time)

    def release(self, copy: MemoryCopy) -> None:
        """Release a copy in a task of its own, since its request may end meanwhile."""
        task = asyncio.create_task(self.port.release_copy(copy))
        self.release_tasks.add(task)
        task.add_done_callback(self.release_tasks.discard)

    async def finish_releases(self) -> None:
        """Wait for the releases that still run; each has a time limit of its own."""
        await asyncio.gather(*self.release_tasks, return_exceptions=True)

    def apply_blocks(self) -> None:
        """Tell the requests in progress that the traits that are blocked may differ."""
        for owner in self.owners:
            if owner.relay.end_is_due():
                owner.notify(TraitBlocked())

    def end_requests(self) -> None:
        """End the requests in progress with an error, because this instance ends."""
        for owner in self.owners:
            owner.notify(InstanceEnds())

    def record_ended_upstreams(self, now: float) -> None:
        """Have the requests in progress suspected of ends of their upstreams."""
        for owner in self.owners:
            owner.relay.record_ended_upstreams(now)

    async def query_report(self, upstream: UpstreamInstance) -> ReportQuery:
        """Query an upstream for its report.

        A query of that upstream that already runs is shared, and is not cancelled with
        a caller that waits for it.
        """
        running = self.pending_reports.get(upstream.address)
        if running is None:
            running = asyncio.create_task(self.port.query_report(upstream))
            self.pending_reports[upstream.address] = running
            running.add_done_callback(partial(self.end_query, upstream))
        return await asyncio.shield(running)

    def end_query(
        self, upstream: UpstreamInstance, query: asyncio.Task[ReportQuery]
    ) -> None:
        """Have an upstream that answers asked about runs that were left there."""
        self.pending_reports.pop(upstream.address, None)
        if query.cancelled() or query.exception() is not None:
            return
        if query.result().state is ReportState.ANSWERED:
            self.run_end_checks.wake(upstream)


class RelayInbox(asyncio.Queue[RelayEvent]):
    """The events for one request, bounded by number and by the size of streams' events.

    `queued_bytes` counts these.
    """

    def __init__(self) -> None:
        super().__init__(INBOX_SIZE)
        self.queued_bytes = 0

    def full(self) -> bool:
        """Whether no more events may be queued now."""
        return self.queued_bytes >= INBOX_BYTES or super().full()

    def _put(self, item: RelayEvent) -> None:
        if isinstance(item, EventArrived):
            self.queued_bytes += len(item.payload)
        super()._put(item)

    def _get(self) -> RelayEvent:
        item = super()._get()
        if isinstance(item, EventArrived):
            self.queued_bytes -= len(item.payload)
        return item


@dataclass(slots=True, eq=False)
class RelayOwner:
    """The state of one relayed request's owner and of the tasks that it started."""

    context: RelayContext
    relay: Relay
    inbox: RelayInbox = field(default_factory=RelayInbox)
    attempts: dict[int, asyncio.Task[None]] = field(default_factory=dict)
    helper_tasks: set[asyncio.Task[None]] = field(default_factory=set)
    logged_wait: float | None = None
    is_taken_up: bool = False

    async def outputs(self) -> AsyncIterator[RelayOutput]:
        """Yield what the caller gets until one of `FINAL_OUTPUTS` ends the request."""
        clock = asyncio.get_running_loop().time
        actions = self.relay.start(clock())
        while True:
            for action in actions:
                if isinstance(action, Fail):
                    log_refused_wait(self.relay)
                output = self.carry_out(action)
                if output is not None:
                    yield output
                if isinstance(output, FINAL_OUTPUTS):
                    return
            event = await self.next_event()
            now = clock()
            if event is None:
                actions = self.relay.tick(now)
            else:
                log_attempt_failure(self.relay, event)
                actions = self.relay.handle(event, now)
                self.context.crash_reports.check_losses()
                self.context.versions.notify()
                self.context.reach_checks.notify()
            self.log_budget_wait(now)

    def log_budget_wait(self, now: float) -> None:
        """Log once for each wait for the retry budget what is known of it."""
        relay = self.relay
        if relay.waits_since is None or relay.waits_since == self.logged_wait:
            return
        self.logged_wait = relay.waits_since
        service = relay.routed.service.name
        log_event(
            "retry_awaited",
            id=relay.request.request_id,
            service=service,
            level=relay.retry_level().name.lower(),
            **relay.shared.budget_facts(service, now),
        )

    def notify(self, event: RelayEvent) -> None:
        """Put an event in the inbox; a full one has the events of a sound stream."""
        if not self.inbox.full():
            self.inbox.put_nowait(event)

    def end_taken_up(self, by: str) -> None:
        """End all work for the request now, as its caller goes on by the request `by`.

        The owner itself may wait for a caller that no longer reads.
        """
        if self.is_taken_up or self.relay.is_over:
            return
        self.is_taken_up = True
        for action in self.relay.close(asyncio.get_running_loop().time()):
            self.carry_out(action)
        while not self.inbox.empty():
            self.inbox.get_nowait()
        self.inbox.put_nowait(StreamTakenUp(by))

    async def next_event(self) -> RelayEvent | None:
        """Return the next event, or None when a timeout is due."""
        if not self.inbox.empty():
            return self.inbox.get_nowait()
        try:
            async with asyncio.timeout_at(self.relay.wake_at()):
                return await self.inbox.get()
        except TimeoutError:
            return None

    def carry_out(self, action: RelayAction) -> RelayOutput | None:
        """Carry out an action, or return it if it is an output for the caller."""
        match action:
            case StartRelay():
                task = asyncio.create_task(self.run_attempt(action))
                self.attempts[action.attempt] = task
                log_attempt_start(self.relay, action)
            case CancelAttempt(attempt):
                self.attempts.pop(attempt).cancel()
            case ProbeUpstream():
                self.start_helper(action, self.probe_upstream)
            case ClaimTrial():
                self.start_helper(action, self.claim_trial)
            case FindVersion():
                self.start_helper(action, self.find_version)
            case BorrowRetry():
                self.start_helper(action, self.borrow_retry)
            case EndHop():
                self.start_helper(action, self.end_hop)
            case QueryLoads():
                self.start_helper(action, self.query_loads)
            case CopyMemory():
                self.start_helper(action, self.copy_memory)
            case CheckHolder():
                self.start_helper(action, self.check_holder)
            case StopRun():
                self.start_helper(action, self.stop_run)
            case SettleRun(run, cause):
                self.context.run_end_checks.add(run, cause=cause.value)
            case ReleaseCopy(copy):
                self.context.release(copy)
            case _:
                return action
        return None

    async def run_attempt(self, start: StartRelay) -> None:
        """Send one attempt; an unexpected exception is reported as its failure."""
        try:
            if start.must_record and not await self.record_version(start):
                now = asyncio.get_running_loop().time()
                cause, verdict = AttemptCause.UNRECORDED, Verdict.NOT_RUN
                await self.inbox.put(AttemptFailed(start.attempt, now, cause, verdict))
                return
            await self.context.port.send(
                start, self.relay.request, self.relay.routed, self.inbox.put
            )
        except Exception as error:
            log_event(
                "attempt_error", id=self.relay.request.request_id, error=repr(error)
            )
            await self.inbox.put(
                AttemptFailed(
                    start.attempt,
                    asyncio.get_running_loop().time(),
                    AttemptCause.LOST,
                    Verdict.MAY_HAVE_RUN,
                    repr(error),
                )
            )

    async def record_version(self, start: StartRelay) -> bool:
        """Have the store know at which version a stream is to begin.

        Return whether the attempt may be sent. While no other version is live, it may
        be sent all the same.
        """
        versions, version = self.context.versions, start.upstream.version
        service = self.relay.routed.service.name
        record = SavedStream(self.relay.request.stream_id, service, version)
        if await versions.records.save_stream(record):
            return True
        now = asyncio.get_running_loop().time()
        return version not in versions.versions.closed_versions(service, now)

    async def probe_upstream(self, action: ProbeUpstream) -> None:
        """Query the upstream of a stalled attempt and pass its report to the inbox."""
        query = await self.context.query_report(action.upstream)
        now = asyncio.get_running_loop().time()
        probed = UpstreamProbed(action.attempt, now, query.report, query.state)
        await self.inbox.put(probed)

    async def claim_trial(self, action: ClaimTrial) -> None:
        """Ask for a trial of a blocked trait and pass the outcome to the inbox."""
        is_granted = await self.context.port.can_connect(action.upstream)
        if is_granted:
            is_granted = await self.context.crash_reports.claim_trial(action.trait)
        log_event(
            "trial_claimed",
            id=self.relay.request.request_id,
            trait=action.trait,
            is_granted=is_granted,
        )
        await self.inbox.put(TrialClaimed(is_granted))

    async def find_version(self, action: FindVersion) -> None:
        """Find the version of a stream and pass it to the inbox."""
        found = await self.context.versions.find(action.stream, action.service)
        log_event(
            "stream_taken_up",
            id=self.relay.request.request_id,
            stream=action.stream,
            version=found.version,
            versions_seen=",".join(sorted(found.versions_seen)),
        )
        await self.inbox.put(VersionFound(found))

    async def borrow_retry(self, action: BorrowRetry) -> None:
        """Ask another instance for a retry and pass its answer to the inbox."""
        lender = action.lender
        is_lent = await self.context.lending.borrow(
            lender, action.service, action.is_new_stream, action.level, action.own_share
        )
        log_event(
            "retry_borrowed",
            id=self.relay.request.request_id,
            instance=lender.name,
            is_lent=is_lent,
        )
        await self.inbox.put(RetryLent(lender.name, is_lent))

    async def end_hop(self, action: EndHop) -> None:
        """Have another instance end a run and pass to the inbox whether it has."""
        outcome = await self.context.hops.end_elsewhere(action)
        log_event(
            "hop_taken_back",
            id=self.relay.request.request_id,
            instance=action.hop.receiver.name,
            outcome=outcome or "lease_over",
        )
        await self.inbox.put(HopEnded(action.attempt, outcome is not None))

    async def query_loads(self, action: QueryLoads) -> None:
        """Query candidates for their load and pass on the reports that came in time."""
        queries = {
            upstream.name: asyncio.create_task(self.context.query_report(upstream))
            for upstream in action.candidates
        }
        await asyncio.wait(queries.values(), timeout=LOAD_QUERY_TIMEOUT_S)
        reports = {}
        for name, task in queries.items():
            if not task.done():
                task.cancel()
            elif (report := task.result().report) is not None:
                reports[name] = report
        now = asyncio.get_running_loop().time()
        await self.inbox.put(LoadsReported(now, reports))

    async def copy_memory(self, action: CopyMemory) -> None:
        """Have a request's KV cache copied to a standby and report the outcome."""
        request_id = self.relay.request.request_id
        copy = await self.context.port.copy_memory(
            action.source, request_id, action.target
        )
        log_event(
            "copy_renewed",
            id=request_id,
            upstream=action.source.name,
            holder=action.target.name,
            is_made=copy is not None,
        )
        now = asyncio.get_running_loop().time()
        await self.inbox.put(MemoryCopied(action.attempt, now, copy))

    async def stop_run(self, action: StopRun) -> None:
        """Have a run stopped and pass on what is known of it then."""
        request_id, clock = self.relay.request.request_id, loop_time
        ordered_at = clock()
        stopped = await self.context.stop_orders.stop(
            action.upstream, request_id, action.target
        )
        log_event(
            "run_stopped",
            id=request_id,
            upstream=action.upstream.name,
            end=stopped.end.value,
            after_s=clock() - ordered_at,
        )
        await self.inbox.put(RunStopped(action.attempt, clock(), stopped))

    async def check_holder(self, action: CheckHolder) -> None:
        """Query the holder of a copy and pass its report to the inbox.

        A holder that does not answer, or answers as a different incarnation, has lost
        the copy; this is logged.
        """
        holder = action.holder
        report = (await self.context.query_report(holder)).report
        if report is None or report.incarnation != holder.incarnation:
            log_event(
                "holder_lost",
                id=self.relay.request.request_id,
                holder=holder.name,
                domain=holder.failure_domain,
                listed_life=holder.incarnation,
                found_life=report.incarnation if report is not None else None,
            )
        now = asyncio.get_running_loop().time()
        await self.inbox.put(HolderChecked(action.attempt, now, holder, report))

    def start_helper(self, action: A, work: HelperWork[A]) -> None:
        """Carry out an action in a task that is cancelled when the owner closes."""
        task = asyncio.create_task(self.run_helper(action, work))
        self.helper_tasks.add(task)
        task.add_done_callback(self.helper_tasks.discard)

    async def run_helper(self, action: A, work: HelperWork[A]) -> None:
        """Carry out an action; the request must not wait for it if that fails."""
        try:
            await work(action)
        except Exception as error:
            log_event(
                "helper_failed", id=self.relay.request.request_id, error=repr(error)
            )
            now = asyncio.get_running_loop().time()
            await self.inbox.put(empty_result(action, self.relay, now))

    async def close(self) -> None:
        """Cancel all running tasks and wait until their connections are closed."""
        try:
            # The later run of a stream may have begun to record the stream as its own.
            if not self.is_taken_up:
                for action in self.relay.close(asyncio.get_running_loop().time()):
                    self.carry_out(action)
        finally:
            # Upstreams would otherwise work on for a caller that is gone.
            await cancel_tasks([*self.attempts.values(), *self.helper_tasks])


@singledispatch
def empty_result(action: HelperAction, relay: Relay, now: float) -> RelayEvent:
    """Return the event for an action of which nothing was found out."""
    raise NotImplementedError(f"action={action!r} has no result")


@empty_result.register
def empty_probe(action: ProbeUpstream, relay: Relay, now: float) -> RelayEvent:
    """Return the event of a probe without an answer."""
    return UpstreamProbed(action.attempt, now, None)


@empty_result.register
def empty_claim(action: ClaimTrial, relay: Relay, now: float) -> RelayEvent:
    """Return the event of a trial that another instance has, or may have."""
    return TrialClaimed(False)


@empty_result.register
def empty_version(action: FindVersion, relay: Relay, now: float) -> RelayEvent:
    """Return what this instance itself knows of a stream's version."""
    found = relay.shared.versions.find(action.stream or "", action.service, now)
    return VersionFound(found)


@empty_result.register
def empty_loan(action: BorrowRetry, relay: Relay, now: float) -> RelayEvent:
    """Return the event of a retry that was not lent."""
    return RetryLent(action.lender.name, False)


@empty_result.register
def empty_hop_end(action: EndHop, relay: Relay, now: float) -> RelayEvent:
    """Return the event of a run that ends with its lease."""
    return HopEnded(action.attempt, is_certain=False)


@empty_result.register
def empty_loads(action: QueryLoads, relay: Relay, now: float) -> RelayEvent:
    """Return the event of a query that no candidate has answered."""
    return LoadsReported(now, {})


@empty_result.register
def empty_copy(action: CopyMemory, relay: Relay, now: float) -> RelayEvent:
    """Return the event of a copy that was not made."""
    return MemoryCopied(action.attempt, now, None)


@empty_result.register
def empty_stop(action: StopRun, relay: Relay, now: float) -> RelayEvent:
    """Return the event of an order to stop that has shown nothing."""
    stopped = StoppedRun(RunEnd.UNKNOWN, has_answered=False)
    return RunStopped(action.attempt, now, stopped)


@empty_result.register
def empty_check(action: CheckHolder, relay: Relay, now: float) -> RelayEvent:
    """Return the event of a holder that does not answer."""
    return HolderChecked(action.attempt, now, action.holder, None)


@asynccontextmanager
async def open_relay(
    context: RelayContext, request: RelayedRequest, routed: RoutedRequest
) -> AsyncIterator[RelayOwner]:
    """Yield a request's owner; leaving the context ends all work for it."""
    owner = RelayOwner(context, make_relay(request, routed, context.shared))
    # The selector measures the age of reports and failures against this time.
    context.shared.selector.advance_clock(asyncio.get_running_loop().time())
    context.take_ups.begin(request, routed)
    context.owners.add(owner)
    try:
        yield owner
    finally:
        context.owners.discard(owner)
        await owner.close()


def log_attempt_start(relay: Relay, start: StartRelay) -> None:
    """Log an attempt's upstream and reason, except for the first attempt.

    The line that ends a request names its upstream, so most requests log one line.
    """
    if start.attempt == 1:
        return
    log_event(
        "attempt_started",
        id=relay.request.request_id,
        attempt=start.attempt,
        upstream=start.upstream.name,
        version=start.upstream.version,
        resume_after=start.resume_after,
        from_copy=start.from_copy,
        reason=relay.last_message,
    )


def log_refused_wait(relay: Relay) -> None:
    """Log what a stream was refused by, if that is the wait at the best upstream."""
    inputs = relay.refused_wait
    if inputs is None:
        return
    log_event(
        "wait_refused",
        id=relay.request.request_id,
        upstream=inputs.upstream,
        urgency=relay.routed.urgency,
        prompts_ahead=inputs.wait.prompts_ahead,
        streams_to_end=inputs.wait.streams_to_end,
        first_event_s=inputs.wait.first_event_s,
        left_s=inputs.left_s,
        urgent_share=inputs.urgent_share,
        prefill_s=inputs.prefill_s,
        prefill_age_s=inputs.prefill_age_s,
        query_s=inputs.query_s,
        keeps_room=inputs.keeps_room,
    )


def log_attempt_failure(relay: Relay, event: RelayEvent) -> None:
    """Log an attempt's failure, unless the attempt was already cancelled."""
    if not isinstance(event, AttemptFailed):
        return
    attempt = relay.attempts.get(event.attempt)
    if attempt is None:
        return
    log_event(
        "attempt_failed",
        id=relay.request.request_id,
        attempt=event.attempt,
        upstream=attempt.upstream.name,
        domain=attempt.upstream.failure_domain,
        version=attempt.upstream.version,
        cause=event.cause.value,
        verdict=event.verdict.value,
        after_s=event.at - attempt.started_at,
        position=relay.position,
        events=attempt.events,
        parts=",".join(relay.request.shared_parts) or None,
        message=event.message,
    )
