"""The port over which an instance learns of changes in the store from another one."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager
from typing import Protocol

from turmericusher.decisions.watch_sharing import PassedChanges, PassedState


class ChangePeerError(Exception):
    """Another instance does not pass changes on, or no more."""


class ChangePeers(Protocol):
    """Connections to other instances, each by its `ip:port`."""

    def follow(
        self, address: str, after_revision: int, history: int | None = None
    ) -> AbstractAsyncContextManager[AsyncIterator[PassedChanges]]:
        """Open a stream of the changes after a revision of a history of the store.

        It has an element for each answer of the store, also one without changes. Both
        entering the context and iterating raise `ChangePeerError`.
        """
        ...

    async def state(self, address: str) -> PassedState:
        """Have an instance tell what the store has; raise `ChangePeerError`."""
        ...

    async def read(self, address: str, key: str, revision: int) -> bytes | None:
        """Have an instance tell the value that a key has had since a revision.

        Returns None if the key is absent. Raises `ChangePeerError`.
        """
        ...
