"""Watches a connection whose peer does not read what was written to it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from turmericusher.decisions.held_memory.limits import SLOW_READER_BYTES

CHECK_INTERVAL_S = 0.5
"""Seconds between two looks at a connection whose buffer is full; others have none."""


@dataclass(slots=True)
class WriteWatch:
    """Checks, while writing is paused, that the peer reads.

    `on_read` receives the bytes that wait, at first and whenever the peer has read
    some. `on_stalled` is called once less than `SLOW_READER_BYTES` were read in
    `limit_s` seconds.
    """

    transport: asyncio.WriteTransport
    limit_s: float
    on_read: Callable[[int], None]
    on_stalled: Callable[[], None]
    timer: asyncio.TimerHandle | None = None
    size: int = 0
    marked_size: int = 0
    marked_at: float = 0.0

    def start(self) -> None:
        """Begin, as the transport's buffer is full."""
        self.stop()
        loop = asyncio.get_running_loop()
        self.size = self.marked_size = self.transport.get_write_buffer_size()
        self.marked_at = loop.time()
        self.timer = loop.call_later(CHECK_INTERVAL_S, self.check)
        self.on_read(self.size)

    def stop(self) -> None:
        """End, as the buffer has room again or the connection is closed."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def check(self) -> None:
        """Look at what waits, and cut off a peer that reads too slowly."""
        loop = asyncio.get_running_loop()
        now, size = loop.time(), self.transport.get_write_buffer_size()
        if self.marked_size - size >= SLOW_READER_BYTES or size > self.marked_size:
            self.marked_size, self.marked_at = size, now
        elif now - self.marked_at >= self.limit_s:
            self.timer = None
            self.on_stalled()
            return
        self.timer = loop.call_later(CHECK_INTERVAL_S, self.check)
        if size != self.size:
            self.size = size
            self.on_read(size)
