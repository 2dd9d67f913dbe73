"""Expected time until a new request is done at each upstream of a service.

Load: upstreams that differ in speed and slots and share their machines with others, so
that as many requests take a different time at each. Some report by how much work is
slowed there at the moment, which changes many times a second.

A service is compared by this time once one of its upstreams has reported a slowdown, or
two have reported different numbers of slots. All others are compared by their load.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from turmericusher.decisions.placing.upstream_load import LoadReport

SLOWDOWN_DECAY_S = 0.6
"""Age in seconds at which a reported slowdown has 1/e of its weight: it changes many
times a second, so an older one tells nothing."""

MAX_SLOWDOWN = 100.0
"""Largest reported slowdown that is used; a larger one is taken for a mistake."""

DURATION_SMOOTHING = 1 / 8
"""Weight of a new sample of a request's time at an upstream."""

CROWDING = 0.2
"""Share by which a request is taken to be slower where all slots are taken than where
none is. Some upstreams slow down when they are nearly full, and it decides between two
that both have free slots."""

INITIAL_DURATION_S = 0.05
"""Assumed time of one request while none of its service was measured. Only ratios
matter, so the same value for all upstreams changes no choice."""


@dataclass(frozen=True, slots=True)
class Slowdown:
    """How many times longer than usual work takes at an upstream, as of `at`.

    `at` is the monotonic time in seconds at which the report arrived.
    """

    factor: float
    at: float

    def current(self, now: float) -> float:
        """Return the factor that is likely now: it fades to 1 with its age."""
        age_s = max(0.0, now - self.at)
        return 1.0 + (self.factor - 1.0) * math.exp(-age_s / SLOWDOWN_DECAY_S)

    def mean_over(self, duration_s: float, now: float) -> float:
        """Return the mean factor that is likely over the next seconds."""
        if duration_s <= 0.0:
            return self.current(now)
        decays = duration_s / SLOWDOWN_DECAY_S
        share = (1.0 - math.exp(-decays)) / decays
        return 1.0 + (self.current(now) - 1.0) * share


@dataclass(slots=True)
class WorkModel:
    """What is known of the speed and the slots of each upstream, by its name.

    `slots` and `slowdowns` are what the upstreams reported last, and `service_slots`
    the number that any of a service did. `durations` has the smoothed time in seconds
    of a request that found a free slot, without the slowdown of the moment. `services`
    are those that are compared by expected time.
    """

    slots: dict[str, float] = field(default_factory=dict)
    service_slots: dict[str, float] = field(default_factory=dict)
    slowdowns: dict[str, Slowdown] = field(default_factory=dict)
    durations: dict[str, float] = field(default_factory=dict)
    services: set[str] = field(default_factory=set)

    def merge_report(
        self, name: str, report: LoadReport, now: float, service: str
    ) -> None:
        """Store what a report says of an upstream of a service.

        A figure that is missing or absurd counts as none; an earlier one fades.
        """
        if report.slots is not None and 0 < report.slots < math.inf:
            self.slots[name] = report.slots
            if self.service_slots.setdefault(service, report.slots) != report.slots:
                self.services.add(service)
        factor = report.slowdown
        if factor is not None and 0.0 < factor <= MAX_SLOWDOWN:
            self.slowdowns[name] = Slowdown(factor, now)
            self.services.add(service)

    def record_duration(
        self, name: str, duration_s: float, load: float, now: float
    ) -> None:
        """Add the time that an upstream took for a request at this load.

        A request that may have waited for a slot there tells nothing of the speed.
        """
        if load > self.slots.get(name, math.inf):
            return
        sample_s = duration_s / self.slowdown(name, now)
        known_s = self.durations.get(name)
        if known_s is None:
            self.durations[name] = sample_s
        else:
            self.durations[name] += DURATION_SMOOTHING * (sample_s - known_s)

    def slowdown(self, name: str, now: float) -> float:
        """Return how many times longer than usual work takes at an upstream now."""
        known = self.slowdowns.get(name)
        return known.current(now) if known is not None else 1.0

    def slowdown_over(self, name: str, duration_s: float, now: float) -> float:
        """Return the same as a mean over the next seconds."""
        known = self.slowdowns.get(name)
        return known.mean_over(duration_s, now) if known is not None else 1.0

    def done_after_s(
        self, name: str, load: float, typical_s: float, now: float
    ) -> float:
        """Return the expected seconds until one more request is done at an upstream.

        `load` is the number of requests there. `typical_s` is the time of one where
        none was measured at this upstream. All attempts open a connection of their own,
        so that adds the same time everywhere and is left out.
        """
        duration_s = self.durations.get(name, typical_s) * self.slowdown(name, now)
        slots = self.slots.get(name)
        if slots is None:
            return duration_s * (1.0 + load)
        waiting = max(0.0, load + 1.0 - slots)
        crowding = CROWDING * min(1.0, load / slots)
        return duration_s * (1.0 + crowding + waiting / slots)

    def typical_duration_s(self, names: Iterable[str]) -> float:
        """Return the mean time of a request at those of the upstreams that have one."""
        known = [self.durations[name] for name in names if name in self.durations]
        return sum(known) / len(known) if known else INITIAL_DURATION_S

    def retain(self, services: Mapping[str, str]) -> None:
        """Drop what is known of upstreams that are not listed; maps names to services.

        A service without upstreams is compared by load again.
        """
        for known in (self.slots, self.slowdowns, self.durations):
            for name in known.keys() - services.keys():
                del known[name]
        listed = set(services.values())
        self.services &= listed
        for service in self.service_slots.keys() - listed:
            del self.service_slots[service]

    def forget(self, name: str) -> None:
        """Drop what is known of an upstream, since another incarnation runs there."""
        for known in (self.slots, self.slowdowns, self.durations):
            known.pop(name, None)
