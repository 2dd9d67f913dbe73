"""Ends of upstreams that are not confirmed yet, with the requests suspected of them.

An upstream may end without a sign: its connections say nothing more, and new ones are
not answered, or are by its successor at the same address. A request that it was given
and did not answer may also have met a pause, a cut or a queue. The question therefore
stays open until the list or another incarnation answers it, or the upstream does by
serving a request that was sent later.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Callable
from dataclasses import dataclass, field

from turmericusher.decisions.crash_records import (
    Chain,
    Suspicion,
    death_name,
    severity,
)
from turmericusher.decisions.fleet import UpstreamInstance

LOSS_EXPIRY_S = 10.0
"""Seconds after which a loss is forgotten if nothing has confirmed it: a few times what
the list takes to drop an upstream that has ended."""

LIST_LAG_S = 2.0
"""Seconds for which an answer leaves a loss open, since one from a new incarnation of
the same name looks alike until the list shows that."""

MAX_LOST_CHAINS = 64
"""Bound of the suspected requests of one loss."""


class EndState(enum.StrEnum):
    """What a question to an upstream has shown of one incarnation of it.

    `UNKNOWN`: there was no answer, or none that names the incarnation.
    """

    ENDED = "ended"
    RUNNING = "running"
    UNKNOWN = "unknown"


@dataclass(slots=True)
class Loss:
    """An upstream that may have ended, with the requests suspected of it.

    `chains` maps each request's suspicions to when its attempt ended. A request that
    was sent at `answered_since` has had an answer, at `answered_at`. `is_check_due`:
    the upstream should be asked. Times are monotonic seconds.
    """

    upstream: UpstreamInstance
    chains: dict[Chain, float] = field(default_factory=dict)
    answered_since: float = -math.inf
    answered_at: float = math.inf
    is_check_due: bool = False
    is_being_checked: bool = False

    def drop_settled(self, now: float) -> bool:
        """Drop requests that an answer clears, or of long ago; return whether any."""
        is_settled = now - self.answered_at >= LIST_LAG_S
        kept = {
            chain: lost_at
            for chain, lost_at in self.chains.items()
            if now - lost_at < LOSS_EXPIRY_S
            and not (is_settled and lost_at < self.answered_since)
        }
        if is_settled:
            self.answered_at = math.inf
        is_changed = len(kept) < len(self.chains)
        self.chains = kept
        return is_changed


@dataclass(slots=True)
class OpenLosses:
    """The losses of one instance, by the name of the death that each may be.

    `suspected` has the most serious suspicion of each trait in them.
    """

    losses: dict[str, Loss] = field(default_factory=dict)
    suspected: dict[str, Suspicion] = field(default_factory=dict)

    def due_checks(self) -> list[UpstreamInstance]:
        """Return the upstreams that are to be asked whether they have ended."""
        return [
            loss.upstream
            for loss in self.losses.values()
            if loss.is_check_due and not loss.is_being_checked
        ]

    def add(
        self, upstream: UpstreamInstance, chain: Chain, now: float, needs_check: bool
    ) -> None:
        """Add a request that an upstream was given and did not answer."""
        name = death_name(upstream.name, upstream.incarnation)
        loss = self.losses.setdefault(name, Loss(upstream))
        if len(loss.chains) >= MAX_LOST_CHAINS and chain not in loss.chains:
            return
        loss.chains[chain] = now
        loss.is_check_due = loss.is_check_due or needs_check
        self.index(chain)

    def index(self, chain: Chain) -> None:
        """Add the suspicions of a chain to `suspected`."""
        for suspicion in chain:
            known = self.suspected.get(suspicion.trait, suspicion)
            self.suspected[suspicion.trait] = max(known, suspicion, key=severity)

    def begin_check(self, upstream: UpstreamInstance) -> None:
        """Record that an upstream is being asked whether it has ended."""
        loss = self.losses[death_name(upstream.name, upstream.incarnation)]
        loss.is_being_checked, loss.is_check_due = True, False

    def end_check(self, upstream: UpstreamInstance) -> None:
        """Record that an upstream was asked, which has not settled the question."""
        loss = self.losses.get(death_name(upstream.name, upstream.incarnation))
        if loss is not None:
            loss.is_being_checked = False

    def record_answer(
        self, upstream: UpstreamInstance, sent_at: float, now: float
    ) -> None:
        """Record an answer to a request that was sent to an upstream at `sent_at`."""
        if not self.losses:
            return
        loss = self.losses.get(death_name(upstream.name, upstream.incarnation))
        if loss is not None and any(at < sent_at for at in loss.chains.values()):
            loss.answered_since = max(loss.answered_since, sent_at)
            loss.answered_at = min(loss.answered_at, now)

    def clear_trait(self, trait: str) -> None:
        """Suspect a trait no longer, since a request with it has run well."""
        if trait not in self.suspected:
            return
        for loss in self.losses.values():
            loss.chains = {
                tuple(each for each in chain if each.trait != trait): lost_at
                for chain, lost_at in loss.chains.items()
            }
            loss.chains.pop((), None)
        self.rebuild_index()

    def remove(self, upstream: UpstreamInstance) -> Loss | None:
        """Remove and return the loss of an upstream, if there is one."""
        name = death_name(upstream.name, upstream.incarnation)
        loss = self.losses.pop(name, None)
        if loss is not None:
            self.rebuild_index()
        return loss

    def review(
        self, has_ended: Callable[[UpstreamInstance], bool], now: float
    ) -> list[Loss]:
        """Drop what is settled; remove and return the losses that have become ends."""
        if not self.losses:
            return []
        is_changed = [loss.drop_settled(now) for loss in self.losses.values()]
        ended = [
            loss
            for loss in self.losses.values()
            if loss.chains and has_ended(loss.upstream)
        ]
        self.losses = {
            name: loss
            for name, loss in self.losses.items()
            if loss.chains and loss not in ended
        }
        if ended or any(is_changed):
            self.rebuild_index()
        return ended

    def rebuild_index(self) -> None:
        """Make `suspected` anew from the losses that are left."""
        self.suspected = {}
        for loss in self.losses.values():
            for chain in loss.chains:
                self.index(chain)
