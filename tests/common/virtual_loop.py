"""An event loop with virtual time, which only a test moves forward."""

from __future__ import annotations

import asyncio
import heapq
import selectors
from collections.abc import Callable, Coroutine
from contextvars import Context
from typing import Any, TypeVar

Result = TypeVar("Result")


class IdleSelector(selectors.SelectSelector):
    """A selector without sockets, which stops the loop when it would wait."""

    stop: Callable[[], None]

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Return no events; stop the loop if the timeout is not 0: nothing is ready."""
        if timeout != 0:
            self.stop()
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop for code that waits only for timers and in-memory events."""

    def __init__(self) -> None:
        selector = IdleSelector()
        selector.stop = self.stop
        super().__init__(selector)
        self.now = 1000.0
        self.due_times: list[float] = []

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.now

    def call_at(
        self,
        when: float,
        callback: Callable[..., object],
        *args: Any,
        context: Context | None = None,
    ) -> asyncio.TimerHandle:
        """Schedule the callback, and record when its timer is due."""
        heapq.heappush(self.due_times, when)
        return super().call_at(when, callback, *args, context=context)

    def run_ready(self) -> None:
        """Run everything that can run without time passing."""
        self.run_forever()

    def run_until_done(self, work: Coroutine[Any, Any, Result]) -> Result:
        """Run the coroutine, advance the time as it needs, and return its result."""
        task = self.create_task(work)
        self.run_ready()
        while not task.done():
            if not self.due_times:
                raise AssertionError(f"{task!r} can never finish: no timer is pending")
            self.advance(max(0.0, self.due_times[0] - self.now))
        return task.result()

    def advance(self, seconds: float) -> None:
        """Move the time forward from timer to timer, and run what is due at each."""
        end = self.now + seconds
        while self.due_times and self.due_times[0] <= end:
            self.now = max(self.now, heapq.heappop(self.due_times))
            while self.due_times and self.due_times[0] <= self.now:
                heapq.heappop(self.due_times)
            self.run_ready()
        self.now = end
        self.run_ready()
