"""Choice of the upstream that holds the copy of a running stream's KV cache."""

from __future__ import annotations

from collections.abc import Collection, Sequence
from dataclasses import dataclass, replace

from turmericusher.decisions.fleet import UpstreamInstance
from turmericusher.decisions.holder_room import RoomState
from turmericusher.decisions.placing.selection import PickRequest
from turmericusher.decisions.relay_starting import RelayStarting
from turmericusher.decisions.routing import RequestKind

STANDBY_CANDIDATES = 5
"""Upstreams of which one is chosen by its report."""

URGENT_ROOM = 2.0
"""Copies for which an upstream must have room to get that of a less urgent stream, so
that the last room is left to the copies of urgent ones."""


@dataclass(slots=True)
class StandbyChoice(RelayStarting):
    """Chooses holders of copies by the room that recent reports show."""

    def choose_standby(
        self,
        upstream: UpstreamInstance,
        now: float,
        refused_by: Collection[str] = (),
    ) -> UpstreamInstance | None:
        """Return an upstream in another failure domain to hold a copy, or None.

        It has the same version, since the stream cannot go on at another one. Of a few
        candidates, one that has room by its report comes first, then one without a
        recent report.
        """
        if self.kind is not RequestKind.RESUMABLE_STREAM:
            return None
        if not self.routed.service.keeps_copies:
            return None
        excluded = self.excluded | {upstream.name} | self.shared.holders.lost.keys()
        excluded = excluded | set(refused_by)
        domains = self.recently_lost_domains(now) | {upstream.failure_domain}
        wanted = replace(
            self.pick_request(excluded, domains, now), version=upstream.version
        )
        if self.chooses_by_room:
            found = self.choose_by_room(upstream, wanted, now)
            if found is not None:
                return found
        found = self.shared.selector.pick(wanted)
        if found is None or found.failure_domain != upstream.failure_domain:
            return found
        # Every other domain was lost lately; one of them is still better than this one.
        avoided = frozenset({upstream.failure_domain})
        found = self.shared.selector.pick(replace(wanted, avoided_domains=avoided))
        if found is None or found.failure_domain != upstream.failure_domain:
            return found
        # All others have failed lately. A copy in the same domain would be lost with
        # the run, except where the service has only this domain.
        same_domain = self.same_domain(upstream)
        if same_domain is None:
            return found
        return self.shared.selector.pick(
            replace(wanted, excluded=wanted.excluded | same_domain)
        )

    @property
    def chooses_by_room(self) -> bool:
        """Whether holders of copies are chosen by the room that reports show.

        That is so where streams of different urgency compete for memory. Elsewhere it
        made more streams late: copies then gather at the emptiest upstreams, which are
        also where new streams are placed.
        """
        return bool(self.routed.service.urgency_targets)

    def same_domain(self, upstream: UpstreamInstance) -> frozenset[str] | None:
        """Return the upstreams of a failure domain; None if all of the service are."""
        names, has_others = set(), False
        for each in self.shared.selector.upstreams.values():
            if each.failure_domain == upstream.failure_domain:
                names.add(each.name)
            elif each.service == upstream.service:
                has_others = True
        return frozenset(names) if has_others else None

    def choose_by_room(
        self, upstream: UpstreamInstance, wanted: PickRequest, now: float
    ) -> UpstreamInstance | None:
        """Return one of a few candidates by their reports, or None.

        Of two random ones with room, the one with more of it is taken, so that
        instances with the same reports do not all choose the same. None means that no
        report tells anything, or that all show too little room.
        """
        sampled = self.shared.selector.sample(wanted, STANDBY_CANDIDATES)
        candidates = [
            each for each in sampled if each.failure_domain != upstream.failure_domain
        ]
        rooms, size = self.shared.rooms, self.needed_room(now)
        margins = {each.name: rooms.margin(each.name, size, now) for each in candidates}
        states = {each.name: rooms.state(each.name, size, now) for each in candidates}
        roomy = [e for e in candidates if states[e.name] is RoomState.ENOUGH]
        if roomy:
            self.shared.totals.standbys_by_report += 1
            drawn = self.shared.selector.random.sample(roomy, min(2, len(roomy)))
            return max(drawn, key=lambda each: margins[each.name] or 0.0)
        short = {name for name, state in states.items() if state is RoomState.SHORT}
        if not short or len(short) == len(candidates):
            return None
        found = self.shared.selector.pick(
            replace(wanted, excluded=wanted.excluded | short)
        )
        is_other = found is not None and found.failure_domain != upstream.failure_domain
        return found if is_other else None

    def roomiest(
        self, candidates: Sequence[UpstreamInstance], now: float
    ) -> UpstreamInstance | None:
        """Return the candidate with most room, or the first of all if none has any.

        The first one is also returned where room does not decide.
        """
        if not self.chooses_by_room:
            return candidates[0] if candidates else None
        rooms, size = self.shared.rooms, self.needed_room(now)
        roomy = [
            each
            for each in candidates
            if rooms.state(each.name, size, now) is RoomState.ENOUGH
        ]
        if not roomy:
            return candidates[0] if candidates else None
        return max(roomy, key=lambda each: rooms.margin(each.name, size, now) or 0.0)

    def needed_room(self, now: float) -> float:
        """Return the room that a holder of this stream's copy must show, in tokens."""
        factor = URGENT_ROOM if self.is_overtaken(now) else 1.0
        return factor * self.copy_size()

    def is_overtaken(self, now: float) -> bool:
        """Whether more urgent streams of the service came lately."""
        service = self.routed.service
        if not service.urgency_targets:
            return False
        mix = self.shared.urgency_mix(service.name)
        return any(
            each < self.routed.urgency and mix.has_lately(each, now)
            for each in mix.seen_at
        )

    def is_room_short(self, upstream: UpstreamInstance, now: float) -> bool:
        """Whether recent reports of other domains are all of upstreams without room."""
        rooms, size, listed = (
            self.shared.rooms,
            self.needed_room(now),
            self.shared.selector.upstreams,
        )
        states = [
            rooms.state(name, size, now)
            for name in rooms.rooms
            if name in listed
            and listed[name].service == upstream.service
            and listed[name].failure_domain != upstream.failure_domain
        ]
        known = [state for state in states if state is not RoomState.UNKNOWN]
        return len(known) >= MIN_SHORT_REPORTS and set(known) == {RoomState.SHORT}


MIN_SHORT_REPORTS = 2
"""Least recent reports from which memory is taken to be short everywhere."""
