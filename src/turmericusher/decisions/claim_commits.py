"""Commits of claim pages: how a batch of commands is written by compare-and-swap.

`PageCommit` receives the results of store calls and returns the next call to make. It
grants a claim only when the page that contains it is known to be committed and to be
the first page of its name.

An instance that was paused after it found a page missing may create the page again
after its deletion, and the new page no longer shows that the key has run. Two rules
keep such a page from granting any claim. Before pages are deleted, the floor is raised
above their windows. And a page is confirmed only by a floor that was read after a
commit to the page and that was not above the page's window: no deletion had begun at
that time, so the page is the first of its name. The store never uses a revision twice,
so a commit to a confirmed page fails once the page was deleted.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from turmericusher.decisions.claim_pages import (
    ClaimFloor,
    ClaimPage,
    StoredPage,
    copy_page,
    encode_page,
)
from turmericusher.decisions.claims import (
    ClaimCommand,
    ClaimReply,
    ReplyKind,
    apply_command,
)

MISSING_REVISION = 0


@dataclass(frozen=True, slots=True)
class ReadPage:
    """Read the page from the store and pass it to `on_page_read`."""


@dataclass(frozen=True, slots=True)
class SwapPage:
    """Write the page if the store still has `expected_revision`.

    Pass the new revision to `on_page_written`, or the page found in the store to
    `on_page_read`.
    """

    expected_revision: int
    value: bytes


@dataclass(frozen=True, slots=True)
class ReadFloor:
    """Read the floor from the store and pass it to `on_floor_read`."""


@dataclass(frozen=True, slots=True)
class Finished:
    """The replies in the order of the commands, and the page to cache.

    `is_below_floor` tells that the page lies below the floor and must be deleted.
    """

    replies: tuple[ClaimReply, ...]
    stored: StoredPage
    is_below_floor: bool = False


CommitAction = ReadPage | SwapPage | ReadFloor | Finished


def missing_page() -> StoredPage:
    """Return the stored page for a page that does not exist in the store."""
    return StoredPage(ClaimPage(), MISSING_REVISION)


@dataclass(slots=True)
class PageCommit:
    """The commit of one batch of commands to a page of the time window `window`.

    When a reply of the store is lost, the caller reads the page and continues with
    `on_page_read`: a claim that was written is then found by its attempt identifier.
    """

    window: int
    commands: Sequence[ClaimCommand]
    replies: list[ClaimReply] = field(default_factory=list)
    page: ClaimPage = field(default_factory=ClaimPage)
    revision: int = MISSING_REVISION

    def begin(self, cached: StoredPage | None, is_fresh: bool) -> CommitAction:
        """Apply the commands to the cached page and return the first action.

        A change is checked by the compare-and-swap, however old the cached page is.
        Replies that change nothing are taken from it only if `is_fresh`.
        """
        action = self.apply(cached or missing_page())
        if isinstance(action, SwapPage) or (is_fresh and cached is not None):
            return action
        return ReadPage()

    def on_page_read(self, stored: StoredPage | None) -> CommitAction:
        """Apply the commands to the page as just read; None when it does not exist."""
        return self.apply(stored or missing_page())

    def on_page_written(self, revision: int) -> CommitAction:
        """Continue after the page was written at `revision`."""
        self.revision = revision
        return self.confirm_or_finish()

    def on_floor_read(self, floor: ClaimFloor | None) -> CommitAction:
        """Confirm the page, or reject its new claims if it lies below the floor.

        Without a floor in the store, every page is confirmed.
        """
        if floor is None or floor.floor <= self.window:
            self.page.is_confirmed = True
            return self.finish()
        expired = ClaimReply(ReplyKind.EXPIRED)
        self.replies = [
            expired if reply.kind is ReplyKind.GRANTED else reply
            for reply in self.replies
        ]
        return self.finish(is_below_floor=True)

    def apply(self, stored: StoredPage) -> CommitAction:
        """Apply the commands to a copy of a page and return the next action."""
        self.page = copy_page(stored.page)
        self.revision = stored.revision
        self.replies = [apply_command(command, self.page) for command in self.commands]
        if self.page.is_changed:
            return SwapPage(stored.revision, encode_page(self.page))
        return self.confirm_or_finish()

    def confirm_or_finish(self) -> CommitAction:
        """Read the floor if the page exists and is unconfirmed; otherwise finish."""
        if self.revision != MISSING_REVISION and not self.page.is_confirmed:
            return ReadFloor()
        return self.finish()

    def finish(self, is_below_floor: bool = False) -> Finished:
        """Return the replies and the page, which is unchanged since its commit."""
        self.page.is_changed = False
        stored = StoredPage(self.page, self.revision)
        return Finished(tuple(self.replies), stored, is_below_floor)
