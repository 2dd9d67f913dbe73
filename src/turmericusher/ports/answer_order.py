"""Tells a late copy of a store's answer from the answer to the call that was made.

A copy that comes in front of an answer looks like it. What gives it away is that it is
older than the call: a store's revision grows with each write, and never falls.
"""

from __future__ import annotations

from dataclasses import dataclass

from turmericusher.errors import StoreOutcomeUnknownError, StoreUnavailableError
from turmericusher.ports.keyvalue import StoredValue


@dataclass(slots=True)
class AnswerOrder:
    """The newest revision that a store has told.

    After an answer that is too old it is that one's, so that a store which was set back
    is served again.
    """

    newest: int = 0

    def record(self, revision: int) -> None:
        """Record the revision of an answer."""
        self.newest = max(self.newest, revision)

    def check_read(self, revision: int, known: int) -> None:
        """Raise `StoreUnavailableError` if a read was answered from before `known`.

        `known` is the newest revision when the call was made.
        """
        if revision < known:
            self.newest = revision
            raise StoreUnavailableError(
                f"an answer of revision={revision} is older than {known}"
            )
        self.record(revision)

    def check_write(self, revision: int, known: int) -> None:
        """Raise `StoreOutcomeUnknownError` if a write has no newer revision."""
        if revision <= known:
            self.newest = revision
            raise StoreOutcomeUnknownError(
                f"the answer to a write has revision={revision}, which was known "
                "before; read the key to learn the outcome"
            )
        self.record(revision)


def check_key(stored: StoredValue | None, key: str) -> None:
    """Raise `StoreUnavailableError` for the value of another key."""
    if stored is not None and stored.key != key:
        raise StoreUnavailableError(f"a call for key={key!r} got key={stored.key!r}")
