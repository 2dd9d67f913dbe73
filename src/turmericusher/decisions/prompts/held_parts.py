"""What each upstream probably still holds of prompts that this instance has sent there.

An engine keeps the own part of a request, which is the last one, while the request
runs. Parts that requests share stay until their memory is needed, the least recently
used first. Only this instance's requests are known, so this is a guess, and it is
bounded in memory.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from turmericusher.decisions.fleet import UpstreamInstance
from turmericusher.decisions.relay_messages import UpstreamReport

MAX_PARTS = 128
"""Shared parts that are known of one upstream: with 112 upstreams some 4 MB."""

MAX_AGE_S = 30.0
"""Seconds without use after which a part is not believed to be held, whatever the
turnover: about twice the time that a stream runs."""

Parts = Sequence[tuple[str, int]]
"""The id and the tokens of each part of a prompt, in order; the last is its own."""


@dataclass(frozen=True, slots=True)
class Held:
    """What an upstream probably holds of the beginning of a prompt.

    `tokens` is the expected number, `age_s` the age of the oldest knowledge behind it.
    """

    tokens: float = 0.0
    age_s: float = 0.0


@dataclass(slots=True)
class SharedPart:
    """A shared part: when it was last used, in seconds and in tokens turned over."""

    tokens: int
    used_at: float
    turned: float


@dataclass(slots=True)
class UpstreamParts:
    """What one incarnation of an upstream holds.

    `runs` maps the attempts that run there to their parts, and `uses` counts the runs
    that have a part. `turned` counts the tokens
    of memory that were given to other requests up to `turned_at`, since when they are
    `turned_per_s`. `memory_total` is in tokens, 0 while unknown.
    """

    incarnation: str
    shared: OrderedDict[str, SharedPart] = field(default_factory=OrderedDict)
    runs: dict[str, Parts] = field(default_factory=dict)
    uses: Counter[str] = field(default_factory=Counter)
    turned: float = 0.0
    turned_at: float = 0.0
    turned_per_s: float = 0.0
    memory_total: int = 0

    def turned_by(self, now: float) -> float:
        """Return the tokens turned over until now."""
        return self.turned + (now - self.turned_at) * self.turned_per_s

    def begin(self, run: str, parts: Parts, now: float) -> None:
        """Record that a run has its parts in memory."""
        self.end(run, now)
        self.runs[run] = parts
        self.uses.update(name for name, _ in parts)
        self.use(parts, now)

    def end(self, run: str, now: float) -> None:
        """Record the end of a run, if it is known."""
        parts = self.runs.pop(run, ())
        for name, _ in parts:
            self.uses[name] -= 1
            if not self.uses[name]:
                del self.uses[name]
        self.use(parts, now)

    def use(self, parts: Parts, now: float) -> None:
        """Record that a request uses its shared parts now."""
        for name, tokens in parts[:-1]:
            self.shared[name] = SharedPart(tokens, now, self.turned_by(now))
            self.shared.move_to_end(name)
        while len(self.shared) > MAX_PARTS:
            self.shared.popitem(last=False)

    def record_report(
        self, report: UpstreamReport, duration_s: float, now: float
    ) -> None:
        """Update the turnover, and drop the parts for which no memory is left.

        The memory in use is assumed to change hands once in a stream's duration.
        """
        self.turned, self.turned_at = self.turned_by(now), now
        self.turned_per_s = report.memory_used / max(duration_s, 0.1)
        self.memory_total = report.memory_total
        room = report.memory_total - report.memory_used
        for name in reversed(list(self.shared)):
            if name not in self.uses:
                room -= self.shared[name].tokens
                if room < 0:
                    del self.shared[name]

    def likelihood(self, name: str, now: float) -> float:
        """Return how likely a shared part that no known run uses is still held."""
        part = self.shared.get(name)
        if part is None or now - part.used_at > MAX_AGE_S:
            return 0.0
        if not self.memory_total:
            return 1.0
        return max(0.0, 1.0 - (self.turned_by(now) - part.turned) / self.memory_total)

    def held(self, parts: Parts, now: float) -> Held:
        """Return what is probably held of the beginning of a prompt.

        A part counts only together with all before it.
        """
        tokens, chance, age_s = 0.0, 1.0, 0.0
        for name, size in parts:
            if name not in self.uses:
                chance *= self.likelihood(name, now)
                if chance == 0.0:
                    break
                age_s = max(age_s, now - self.shared[name].used_at)
            tokens += chance * size
        return Held(tokens, age_s)


@dataclass(slots=True)
class HeldParts:
    """What this instance believes of all upstreams, by name."""

    upstreams: dict[str, UpstreamParts] = field(default_factory=dict)

    def of(self, upstream: UpstreamInstance) -> UpstreamParts:
        """Return what is believed of an upstream; a new incarnation holds nothing."""
        known = self.upstreams.get(upstream.name)
        if known is None or known.incarnation != upstream.incarnation:
            known = UpstreamParts(upstream.incarnation)
            self.upstreams[upstream.name] = known
        return known

    def begin_run(
        self, upstream: UpstreamInstance, run: str, parts: Parts, now: float
    ) -> None:
        """Record that an attempt has a prompt in memory at an upstream."""
        self.of(upstream).begin(run, parts, now)

    def end_run(self, upstream: UpstreamInstance, run: str, now: float) -> None:
        """Record the end of an attempt, with which its own part is dropped there."""
        known = self.upstreams.get(upstream.name)
        if known is not None and known.incarnation == upstream.incarnation:
            known.end(run, now)

    def has_run(self, name: str) -> bool:
        """Whether a run with a part is known anywhere."""
        return any(name in known.uses for known in self.upstreams.values())

    def held(self, upstream: UpstreamInstance, parts: Parts, now: float) -> Held:
        """Return what an upstream probably holds of the beginning of a prompt."""
        known = self.upstreams.get(upstream.name)
        if known is None or known.incarnation != upstream.incarnation:
            return Held()
        return known.held(parts, now)

    def retain(self, upstreams: Mapping[str, UpstreamInstance]) -> None:
        """Drop what was known of upstreams that are gone or have restarted."""
        self.upstreams = {
            name: known
            for name, known in self.upstreams.items()
            if name in upstreams and upstreams[name].incarnation == known.incarnation
        }
