"""What an instance has applied of the store's changes, for its logs and metrics."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class AppliedChanges:
    """The last answer that this instance has applied to its lists and its table.

    `revision` is the store's, None before any, and `applied_at` a monotonic time in
    seconds. `source` is the instance that passed the answer on, None for the store.
    `errors` counts the unexpected errors in applying answers, and `last_error` is the
    last one.
    """

    revision: int | None = None
    applied_at: float = 0.0
    source: str | None = None
    errors: int = 0
    last_error: str | None = None

    def record_answer(self, revision: int, source: str | None, now: float) -> None:
        """Record that all changes up to a revision are applied."""
        self.revision, self.source, self.applied_at = revision, source, now

    def record_error(self, error: Exception) -> None:
        """Record that an answer could not be applied."""
        self.errors += 1
        self.last_error = repr(error)

    def age_s(self, now: float) -> float | None:
        """Return how old the last applied answer is in seconds; None before any."""
        return None if self.revision is None else now - self.applied_at
