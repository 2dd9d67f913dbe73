"""Logging that never blocks: a bounded queue and a rate limit for each event.

If the reader of the log stream stops reading, lines are dropped and counted; the
process neither blocks nor grows in memory.
"""

from __future__ import annotations

import queue
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from turmericusher.logs import STATE, TextSink, configure_logs, log_event

QUEUE_LINES = 2_048
"""Lines that wait for a slow reader: at most a few megabytes of memory."""

LINES_PER_S = 200.0
"""Average rate at which an instance may write lines of one event: several times the
rate that its requests cause at the load of one instance."""

BURST_LINES = 400.0
MAX_EVENTS = 1_000
"""Limit on the number of event names; lines of any further event are not logged."""
BATCH_LINES = 256
REPORT_INTERVAL_S = 1.0
CLOSE_TIMEOUT_S = 0.2


@dataclass(slots=True)
class TokenBucket:
    """The token bucket of one event, and the number of lines that it held back."""

    tokens: float = BURST_LINES
    refilled_at: float = 0.0
    held_back: int = 0


@dataclass(slots=True)
class EventRateLimiter:
    """A rate limit in lines per second for each event, which counts excess lines."""

    lines_per_s: float = LINES_PER_S
    burst: float = BURST_LINES
    buckets: dict[str, TokenBucket] = field(default_factory=dict)
    reported_at: float = 0.0

    def try_acquire(self, event: str, now: float) -> bool:
        """Whether one more line of an event may be written now, which uses a token.

        `now` is in monotonic seconds.
        """
        bucket = self.buckets.get(event)
        if bucket is None:
            if len(self.buckets) >= MAX_EVENTS:
                return False
            bucket = self.buckets[event] = TokenBucket(self.burst, now)
        refill = (now - bucket.refilled_at) * self.lines_per_s
        bucket.tokens = min(self.burst, bucket.tokens + refill)
        bucket.refilled_at = now
        if bucket.tokens < 1:
            bucket.held_back += 1
            return False
        bucket.tokens -= 1
        return True

    def pop_held_back(self, now: float) -> dict[str, int]:
        """Return and reset the number of lines held back, by event.

        Returns nothing within `REPORT_INTERVAL_S` of the last report.
        """
        if now - self.reported_at < REPORT_INTERVAL_S:
            return {}
        self.reported_at = now
        counts = {}
        for event, bucket in self.buckets.items():
            if bucket.held_back:
                counts[event] = bucket.held_back
                bucket.held_back = 0
        return counts


@dataclass(slots=True)
class QueuedStream:
    """A text stream whose writes go to a bounded queue, which a thread empties."""

    stream: TextSink
    lines: queue.Queue[str | None] = field(
        default_factory=lambda: queue.Queue(QUEUE_LINES)
    )
    dropped: int = 0
    thread: threading.Thread | None = None

    def start(self) -> None:
        """Start the writer thread, a daemon that does not keep the process alive."""
        self.thread = threading.Thread(target=self.run, name="logs", daemon=True)
        self.thread.start()

    def write(self, text: str, /) -> int:
        """Queue a line; if the queue is full, drop and count it."""
        try:
            self.lines.put_nowait(text)
        except queue.Full:
            self.dropped += 1
        return len(text)

    def flush(self) -> None:
        """Do nothing: the thread flushes after each batch."""

    def run(self) -> None:
        """Write queued lines to the stream until `close` is called."""
        while (batch := self.next_batch()) is not None:
            dropped, self.dropped = self.dropped, 0
            if dropped:
                batch.append(f"event=log_lines_dropped count={dropped}\n")
            try:
                self.stream.write("".join(batch))
                self.stream.flush()
            except (OSError, ValueError):
                # The reader is gone, so the error cannot be logged anywhere.
                self.dropped += len(batch)

    def next_batch(self) -> list[str] | None:
        """Wait for queued lines and return some of them, or None after `close`."""
        first = self.lines.get()
        if first is None:
            return None
        batch = [first]
        while len(batch) < BATCH_LINES and not self.lines.empty():
            line = self.lines.get()
            if line is None:
                self.lines.put(None)
                break
            batch.append(line)
        return batch

    def close(self) -> None:
        """Write the queued lines, for at most `CLOSE_TIMEOUT_S` seconds.

        If the queue is full, return at once and leave the lines to the thread.
        """
        try:
            self.lines.put_nowait(None)
        except queue.Full:
            return
        if self.thread is not None:
            self.thread.join(CLOSE_TIMEOUT_S)


@contextmanager
def bounded_logs(
    stream: TextSink,
    clock: Callable[[], float] = time.monotonic,
    is_direct: bool = False,
) -> Iterator[QueuedStream]:
    """Log to `stream` through a bounded queue and a rate limit inside the context.

    With `is_direct` the events do not go through eliot.
    """
    queued = QueuedStream(stream)
    queued.start()
    limit = EventRateLimiter()

    def is_allowed(event: str) -> bool:
        now = clock()
        for held_back, count in limit.pop_held_back(now).items():
            # This calls is_allowed again, for which nothing is left to report.
            log_event("log_lines_held_back", held_back=held_back, count=count)
        return limit.try_acquire(event, now)

    configure_logs(queued, is_direct)
    STATE.event_filter = is_allowed
    try:
        yield queued
    finally:
        STATE.event_filter = None
        configure_logs(None)
        queued.close()
