"""Commits: how a batch of commands gets into a page by compare-and-swap.

`PageCommit` is fed the results of store calls and says what to do next. It grants a
claim only when the page that holds it is known to be committed and to be the first of
its name.

A page that was deleted may be made anew by an instance that was paused since it found
the page missing, and the new page no longer shows that the key has run. Two rules keep
such a page from granting anything. Whoever deletes pages first raises the floor above
their windows. And a page is confirmed only by a floor that was read after a commit to
the page, and was not above its window: at that moment no deletion had begun, so the
page is the first of its name. A revision is never used twice, so a commit to a
confirmed page fails once the page was deleted.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from turmericusher.decisions.claim_pages import (
    ClaimFloor,
    ClaimPage,
    StoredPage,
    copy_of_page,
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
    """Read the page and call `page_read`."""


@dataclass(frozen=True, slots=True)
class SwapPage:
    """Write the page; call `page_written`, or `page_read` with what is there."""

    expected_revision: int
    value: bytes


@dataclass(frozen=True, slots=True)
class ReadFloor:
    """Read the floor and call `floor_read`."""


@dataclass(frozen=True, slots=True)
class Finished:
    """The replies in the order of the commands, and the page to keep for the next.

    `is_dead` says that the page lies below the floor and is to be deleted.
    """

    replies: tuple[ClaimReply, ...]
    stored: StoredPage
    is_dead: bool = False


CommitAction = ReadPage | SwapPage | ReadFloor | Finished


def missing_page() -> StoredPage:
    """Return what is known of a page that is not in the store."""
    return StoredPage(ClaimPage(), MISSING_REVISION)


@dataclass(slots=True)
class PageCommit:
    """One batch of commands on its way into the page of a window.

    When a reply of the store is lost, the caller reads the page and goes on with
    `page_read`: a claim that did get in is then found by its attempt identifier.
    """

    window: int
    commands: Sequence[ClaimCommand]
    replies: list[ClaimReply] = field(default_factory=list)
    page: ClaimPage = field(default_factory=ClaimPage)
    revision: int = MISSING_REVISION

    def begin(self, cached: StoredPage | None, is_fresh: bool) -> CommitAction:
        """Start from the page as last seen.

        A change is checked by the compare-and-swap, however old the page is. Replies
        that change nothing are taken from it only while it is fresh.
        """
        action = self.apply(cached or missing_page())
        if isinstance(action, SwapPage) or (is_fresh and cached is not None):
            return action
        return ReadPage()

    def page_read(self, stored: StoredPage | None) -> CommitAction:
        """Go on from what the store holds now."""
        return self.apply(stored or missing_page())

    def page_written(self, revision: int) -> CommitAction:
        """Go on after the compare-and-swap succeeded."""
        self.revision = revision
        return self.confirm_or_finish()

    def floor_read(self, floor: ClaimFloor | None) -> CommitAction:
        """Go on after the floor was read; a missing floor bars nothing."""
        if floor is None or floor.floor <= self.window:
            self.page.is_confirmed = True
            return self.finish()
        expired = ClaimReply(ReplyKind.EXPIRED)
        self.replies = [
            expired if reply.kind is ReplyKind.GRANTED else reply
            for reply in self.replies
        ]
        return self.finish(is_dead=True)

    def apply(self, stored: StoredPage) -> CommitAction:
        """Apply the commands to a copy of a page."""
        self.page = copy_of_page(stored.page)
        self.revision = stored.revision
        self.replies = [apply_command(command, self.page) for command in self.commands]
        if self.page.is_changed:
            return SwapPage(stored.revision, encode_page(self.page))
        return self.confirm_or_finish()

    def confirm_or_finish(self) -> CommitAction:
        """Read the floor before anything in an unconfirmed page counts."""
        if self.revision != MISSING_REVISION and not self.page.is_confirmed:
            return ReadFloor()
        return self.finish()

    def finish(self, is_dead: bool = False) -> Finished:
        """Return the replies and the page."""
        self.page.is_changed = False
        stored = StoredPage(self.page, self.revision)
        return Finished(tuple(self.replies), stored, is_dead)
