"""Has the runs of relayed requests stopped, and asks about those that were left.

Nothing but questions is sent to an upstream that does not answer, so that one that
stands still finds no old orders when it goes on.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from turmericusher.decisions.fleet import UpstreamInstance
from turmericusher.decisions.open_losses import EndState
from turmericusher.decisions.relay_messages import MemoryCopy, StoppedRun
from turmericusher.decisions.run_ends import LeftRelayRun, RunEnd, UpstreamRuns
from turmericusher.ports.relay import RelayPort
from turmericusher.tasks.run_ends import Settle

STOP_WAIT_S = 0.25
"""Seconds for which the outcome of an order to stop is awaited. The run stops when the
order arrives; the answer comes when the copy is complete."""

STOP_RETRY_S = 0.02
"""Pause in seconds before the order is repeated to an upstream that has not taken it,
as while it makes another copy of the run."""

STOPS_AT_A_TIME = 64
"""Orders to stop that one upstream gets at a time."""


def loop_time() -> float:
    """Return the time of the running event loop in seconds."""
    return asyncio.get_running_loop().time()


@dataclass(slots=True)
class StopOrders:
    """Orders to stop runs; they may outlive the requests that gave them.

    `tasks` has those on their way. A copy whose answer nobody awaits is freed.
    """

    port: RelayPort
    tasks: set[asyncio.Task[None]]

    async def stop(
        self, upstream: UpstreamInstance, request_id: str, target: UpstreamInstance
    ) -> StoppedRun:
        """Have a run stopped and return what is known of it in `STOP_WAIT_S`."""
        outcome: asyncio.Future[StoppedRun] = asyncio.Future()
        order = self.carry_out(upstream, request_id, target, outcome)
        task = asyncio.create_task(order)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        try:
            async with asyncio.timeout(STOP_WAIT_S):
                return await outcome
        except TimeoutError:
            return StoppedRun(RunEnd.UNKNOWN, has_answered=False)

    async def carry_out(
        self,
        upstream: UpstreamInstance,
        request_id: str,
        target: UpstreamInstance,
        outcome: asyncio.Future[StoppedRun],
    ) -> None:
        """Order until the upstream takes it or nobody awaits the outcome any more."""
        stopped = await self.port.stop_run(upstream, request_id, target)
        while stopped.is_refused and not outcome.done():
            await asyncio.sleep(STOP_RETRY_S)
            stopped = await self.port.stop_run(upstream, request_id, target)
        if not outcome.done():
            outcome.set_result(stopped)
        elif stopped.copy is not None:
            await self.port.release_copy(stopped.copy)


@dataclass(slots=True)
class RelayRunAsker:
    """Asks whether an upstream has ended, and orders what answers to stop each run.

    `release` frees a copy that nobody goes on from. `clock` returns monotonic seconds.
    """

    port: RelayPort
    orders: StopOrders
    release: Callable[[MemoryCopy], None]
    clock: Callable[[], float] = loop_time

    async def ask(
        self,
        left: UpstreamRuns[LeftRelayRun],
        now: float,
        settle: Settle[LeftRelayRun],
    ) -> None:
        """Ask an upstream once; a run whose deadline has passed needs no question."""
        for run in left.expired(now):
            settle(run, RunEnd.EXPIRED, now)
        if not left.runs:
            return
        runs = list(left.runs.values())
        state = await self.port.find_end_state(left.upstream)
        if state is EndState.UNKNOWN:
            return
        limit = asyncio.Semaphore(STOPS_AT_A_TIME)
        if state is EndState.ENDED:
            # Its successor at the address may have got the request in its place.
            first = runs.pop(0)
            if await self.stop(first, limit, settle) is RunEnd.UPSTREAM_ENDED:
                for run in runs:
                    settle(run, RunEnd.UPSTREAM_ENDED, self.clock())
                return
        await asyncio.gather(*(self.stop(run, limit, settle) for run in runs))

    async def stop(
        self, run: LeftRelayRun, limit: asyncio.Semaphore, settle: Settle[LeftRelayRun]
    ) -> RunEnd:
        """Have a run stopped, pass on what is known of it then, and return that."""
        async with limit:
            stopped = await self.orders.stop(run.upstream, run.name, run.target)
        if stopped.copy is not None:
            self.release(stopped.copy)
        settle(run, stopped.end, self.clock())
        return stopped.end

    def task_name(self, upstream: UpstreamInstance) -> str:
        """Return the name in logs of the task that asks an upstream."""
        return "run-ends"
