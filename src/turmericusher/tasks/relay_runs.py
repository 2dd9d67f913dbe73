"""Asks upstreams about the runs that relayed requests left there.

Nothing but questions is sent to an upstream that does not answer, so that one that
stands still finds no old orders when it goes on.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from turmericusher.decisions.fleet import UpstreamInstance
from turmericusher.decisions.open_losses import EndState
from turmericusher.decisions.relay_messages import MemoryCopy
from turmericusher.decisions.run_ends import LeftRelayRun, RunEnd, UpstreamRuns
from turmericusher.ports.relay import RelayPort
from turmericusher.tasks.run_ends import Settle

STOPS_AT_A_TIME = 8
"""Orders to stop that one upstream gets at a time."""


def loop_time() -> float:
    """Return the time of the running event loop in seconds."""
    return asyncio.get_running_loop().time()


@dataclass(slots=True)
class RelayRunAsker:
    """Asks whether an upstream has ended, and orders one that runs to stop each run.

    `release` frees a copy that nobody goes on from. `clock` returns monotonic seconds.
    """

    port: RelayPort
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
        if state is EndState.ENDED:
            for run in runs:
                settle(run, RunEnd.UPSTREAM_ENDED, self.clock())
        elif state is EndState.RUNNING:
            limit = asyncio.Semaphore(STOPS_AT_A_TIME)
            await asyncio.gather(*(self.stop(run, limit, settle) for run in runs))

    async def stop(
        self, run: LeftRelayRun, limit: asyncio.Semaphore, settle: Settle[LeftRelayRun]
    ) -> None:
        """Have a run stopped, and pass on what is known of it then."""
        async with limit:
            stopped = await self.port.stop_run(run.upstream, run.name, run.target)
        if stopped.copy is not None:
            self.release(stopped.copy)
        settle(run, stopped.end, self.clock())

    def task_name(self, upstream: UpstreamInstance) -> str:
        """Return the name in logs of the task that asks an upstream."""
        return "run-ends"
