"""Which requests crash upstreams, and when they may still be sent.

Load: requests with one part in their prompts that crashes each upstream that begins to
write an answer on it. They come at any instance and no two are alike, whereas their
other parts are those of sound requests. An upstream that dies takes sound requests
with it, and upstreams also die for other reasons, many at once.

Each death puts the traits of the requests that the upstream had begun last under
suspicion. A trait is cleared by any request with it that runs well. It is blocked after
a few deaths. One that different requests share is blocked only if one of the deaths
came after another was known: deaths at the same time may have one cause. If other
traits explain its deaths better, those are blocked instead.

Blocked traits are tried again from time to time, by one instance of all, and less often
after each trial, so that a sound trait comes free. A whole request is not tried again
after a few trials that ended in deaths, as long as it goes on to come.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field, replace

from turmericusher.decisions.crash_records import (
    Chain,
    CrashRecord,
    SoundRecord,
    Suspicion,
    TrialRecord,
    death_name,
    is_shared,
    next_suspicion,
    severity,
)
from turmericusher.decisions.fleet import UpstreamInstance
from turmericusher.decisions.open_losses import EndState, Loss, OpenLosses
from turmericusher.decisions.subsets import rendezvous_weight

BLOCKING_DEATHS = 3
"""Deaths after which a trait is blocked."""

BLOCKING_RANK = 2
"""Least rank that one of these deaths must have if requests share the trait."""

CLEAN_RUN_S = 1.0
"""Seconds after an attempt's first event from which on it shows that its request is
sound: an upstream that is crashed by one ends some 0.1 s after it begins to write."""

PROOF_VALID_S = 10.0
"""Seconds for which a trait is not suspected after a request with it ran well: a few
times the pause between two streams at one instance."""

RECORD_TTL_S = 3600
"""Seconds after which a death is forgotten, counted from the last one of its traits, or
the last request that was refused for one of them."""

MAX_DEATHS = 500
MAX_CHAINS = 64
"""Bounds of the ledger: deaths, and suspected requests of one death."""

TRIAL_AFTER_S = 1.5
"""Seconds after the last death until a blocked trait is tried first. After the crash of
a whole service, whose traits nobody has seen run well, this ends the refusals."""

PART_TRIAL_INTERVALS_S = (TRIAL_AFTER_S, 7.5, 120.0, 1200.0)
"""Seconds between two trials of a part, by how many have ended in a death. The second
is shorter than the time in which a deployment must have recovered: the first trial of a
sound part may have met a death of another cause."""

TRIAL_LEAVE_S = 1.0
"""Seconds for which a request whose end would tell little leaves a trial to others:
some pauses between two streams at one instance."""

REQUEST_TRIAL_BACKOFF = 15.0
"""Factor by which each trial of a whole request makes the time to the next longer."""

MAX_FAILED_TRIALS = 2
"""Deaths that came of trials after which a whole request is not tried again."""

PUBLISHED_PROOF_DEATHS = BLOCKING_DEATHS - 1
"""Deaths that a sound trait was suspected of from which on the others are told.

After fewer, one more death does not block it anywhere. A failure domain that crashes
makes hundreds of traits suspect of one death each, and each record costs a write and
wakes all that watch the store."""

PUBLISH_STAGGER_S = 0.3
"""Seconds by which each instance tells of a sound trait later than the one before it in
the trait's order, so that not all of them write what one has written."""


@dataclass(slots=True)
class Death:
    """A death that an instance knows of since `learned_at`, in monotonic seconds.

    An instance that has just started has that time from the record.
    """

    record: CrashRecord
    learned_at: float


@dataclass(frozen=True, slots=True)
class Trial:
    """A trial that an instance knows of since `learned_at`, in monotonic seconds.

    `number` counts all trials of the trait, of which `earlier` came before the deaths
    for which it is blocked now.
    """

    number: int
    learned_at: float
    earlier: int


@dataclass(slots=True)
class CrashLedger:
    """The deaths of upstreams and the traits that are suspected of them.

    `own` is the name of this instance and `instances` are those of all live ones.
    `clock_offset` is the Unix time minus the monotonic one, by which records tell an
    instance that has just started how long ago something was. `open_losses` are deaths
    that were not confirmed yet. `suspicions` maps a trait to what each death that it
    was not cleared of tells of it. `cleared` has the deaths that each trait was cleared
    of, and when. `sound_at` is when a request with a trait last ran well, `refused_at`
    when one was last refused, and `trials` has the last trial of a trait.
    `unpublished_deaths` and `unpublished_sound` are not in the store yet; the latter
    with the time from which on they are due. `left_at` is when a request first left the
    next trial of a trait to others, and `claim_failed_at` when a trial last could not
    be claimed. Times are monotonic seconds.
    """

    own: str = ""
    instances: frozenset[str] = frozenset()
    clock_offset: float = 0.0
    deaths: dict[str, Death] = field(default_factory=dict)
    open_losses: OpenLosses = field(default_factory=OpenLosses)
    suspicions: dict[str, dict[str, Suspicion]] = field(default_factory=dict)
    cleared: dict[str, dict[str, float]] = field(default_factory=dict)
    sound_at: dict[str, float] = field(default_factory=dict)
    refused_at: dict[str, float] = field(default_factory=dict)
    trials: dict[str, Trial] = field(default_factory=dict)
    unpublished_deaths: set[str] = field(default_factory=set)
    unpublished_sound: dict[str, float] = field(default_factory=dict)
    left_at: dict[str, float] = field(default_factory=dict)
    claim_failed_at: float = -math.inf

    def update_instances(self, own: str, names: Iterable[str]) -> None:
        """Set this instance's name and those of all live ones."""
        self.own, self.instances = own, frozenset(names) | {own}

    # Queries

    def known_suspicions(self, traits: Sequence[str]) -> dict[str, Suspicion]:
        """Return what is known of each trait that is suspected or may soon be."""
        found = {
            trait: max(self.suspicions[trait].values(), key=severity)
            for trait in traits
            if trait in self.suspicions
        }
        for trait in traits:
            lost = self.open_losses.suspected.get(trait)
            if lost is not None:
                found[trait] = max(found.get(trait, lost), lost, key=severity)
        return found

    def is_suspected(self, traits: Sequence[str]) -> bool:
        """Whether a request with these traits may have ended an upstream."""
        return bool(self.known_suspicions(traits))

    def is_blocked(self, trait: str) -> bool:
        """Whether a trait has caused too many deaths, for all that is known."""
        suspicions = self.suspicions.get(trait, {})
        if len(suspicions) < BLOCKING_DEATHS:
            return False
        rank = max(each.rank for each in suspicions.values())
        if is_shared(trait) and rank < BLOCKING_RANK:
            return False
        return not any(
            self.explains(other, trait) for other in self.suspicions if other != trait
        )

    def explains(self, other: str, trait: str) -> bool:
        """Whether another trait explains all deaths that a trait is suspected of.

        Of two traits of the same requests, that is the less shared one if both have the
        same deaths. Of two that no request has together, it is the one with more.
        """
        deaths, other_deaths = (
            self.suspicions[trait].keys(),
            self.suspicions[other].keys(),
        )
        if not deaths <= other_deaths:
            return False
        order = [
            (position(chain, trait), position(chain, other))
            for death in deaths
            for chain in self.deaths[death].record.chains
        ]
        together = [(a, b) for a, b in order if a is not None and b is not None]
        if together:
            return any(a < b for a, b in together)
        return len(other_deaths) > len(deaths)

    def blocked_trait(self, traits: Iterable[str]) -> str | None:
        """Return the first trait for which a request must not be sent, or None."""
        if not self.suspicions:
            return None
        return next((trait for trait in traits if self.is_blocked(trait)), None)

    def is_trial_due(self, traits: Sequence[str], now: float) -> bool:
        """Whether a request with these traits may try those that are blocked."""
        return all(
            now >= self.trial_due_at(trait, traits)
            for trait in traits
            if self.is_blocked(trait)
        )

    def trial_due_at(self, trait: str, traits: Sequence[str]) -> float:
        """Return when a request with these traits may try one that is blocked.

        If its end would tell little, it leaves the trial to others for a time from when
        the first such request could have made it.
        """
        due_at = self.next_trial_at(trait)
        leave_s = self.leave_s(trait, traits)
        if leave_s == 0.0:
            return due_at
        left_at = self.left_at.get(trait, -math.inf)
        if left_at < due_at:
            return math.inf
        return max(left_at, self.claim_failed_at) + leave_s

    def leave_s(self, trait: str, traits: Sequence[str]) -> float:
        """Return for how many seconds a request leaves a trial of a part to others.

        That is none, unless a less shared one of its parts is suspected, too: its end
        may come of that one. If that one is blocked, it probably would.
        """
        less_shared = self.less_shared_parts(trait, traits)
        if any(map(self.is_blocked, less_shared)):
            return 2 * TRIAL_LEAVE_S
        is_suspected = any(other in self.suspicions for other in less_shared)
        return TRIAL_LEAVE_S if is_suspected else 0.0

    def less_shared_parts(self, trait: str, traits: Sequence[str]) -> list[str]:
        """Return the parts of a request that fewer requests have than a trait of it."""
        return [each for each in traits[traits.index(trait) + 1 :] if is_shared(each)]

    def is_tried_by(self, trait: str, traits: Sequence[str]) -> bool:
        """Whether the end of a trial by a request counts as one of a trait of it.

        Of its blocked parts that is so only for the least shared one, which explains
        the end. The others may be sound.
        """
        if not self.is_blocked(trait):
            return False
        if not is_shared(trait):
            return True
        return not any(map(self.is_blocked, self.less_shared_parts(trait, traits)))

    def next_trial_at(self, trait: str) -> float:
        """Return when a blocked trait may be tried again by some instance.

        If there is to be no other trial, that is when its deaths are forgotten.
        """
        if not is_shared(trait) and self.failed_trials(trait) >= MAX_FAILED_TRIALS:
            return self.last_seen_at(trait) + RECORD_TTL_S
        trial = self.trials.get(trait)
        tried_at = trial.learned_at if trial is not None else -math.inf
        last_at = max(self.last_death_at(trait), tried_at)
        return last_at + self.trial_interval_s(trait)

    def failed_trials(self, trait: str) -> int:
        """Return how many deaths of a blocked trait came of trials.

        Of a whole request, which is the same each time, each death beyond those for
        which it was blocked tells as much.
        """
        suspicions = self.suspicions[trait].values()
        failed = max(each.trials for each in suspicions)
        if is_shared(trait):
            return failed
        return max(failed, len(suspicions) - BLOCKING_DEATHS)

    def trials_since_deaths(self, trait: str) -> int:
        """Return how many trials of a trait were made for the deaths known now."""
        trial = self.trials.get(trait)
        if trial is None or trial.learned_at < self.first_death_at(trait):
            return 0
        return trial.number - trial.earlier

    def next_trial(self, trait: str, now: float) -> TrialRecord:
        """Return the record to write for a trial of a trait that is made now."""
        trial = self.trials.get(trait)
        number = trial.number + 1 if trial is not None else 1
        return TrialRecord(trait, number, now + self.clock_offset)

    def trial_interval_s(self, trait: str) -> float:
        """Return the seconds between two trials of a blocked trait.

        A trial of a part may show nothing, such as by a stream that is too short to be
        proof, so that only those count that ended in a death.
        """
        failed = self.failed_trials(trait)
        if is_shared(trait):
            return PART_TRIAL_INTERVALS_S[min(failed, len(PART_TRIAL_INTERVALS_S) - 1)]
        trials = max(failed, self.trials_since_deaths(trait))
        return min(TRIAL_AFTER_S * REQUEST_TRIAL_BACKOFF**trials, RECORD_TTL_S)

    def last_death_at(self, trait: str) -> float:
        """Return when this instance learned of a suspected trait's last death."""
        return max(self.deaths[death].learned_at for death in self.suspicions[trait])

    def last_seen_at(self, trait: str) -> float:
        """Return when a suspected trait last caused a death or was last refused."""
        refused_at = self.refused_at.get(trait, -math.inf)
        return max(self.last_death_at(trait), refused_at)

    def first_death_at(self, trait: str) -> float:
        """Return when this instance learned of a trait's first death, inf for none."""
        deaths = self.suspicions.get(trait, ())
        return min((self.deaths[each].learned_at for each in deaths), default=math.inf)

    def retry_after_s(self, trait: str, now: float) -> float:
        """Return the seconds until a blocked trait may be tried, at least the first."""
        return max(TRIAL_AFTER_S, self.next_trial_at(trait) - now)

    def order_of(self, trait: str) -> int:
        """Return this instance's place in the order of instances for a trait."""
        own_weight = rendezvous_weight(trait, self.own)
        return sum(
            rendezvous_weight(trait, other) > own_weight for other in self.instances
        )

    def was_sound_lately(self, trait: str, now: float) -> bool:
        """Whether a request with a trait ran well a short time ago."""
        sound_at = self.sound_at.get(trait)
        return sound_at is not None and now - sound_at < PROOF_VALID_S

    def unchecked_losses(self) -> list[UpstreamInstance]:
        """Return the upstreams that may have died and are not being checked yet."""
        return self.open_losses.due_checks()

    def own_time(self, at: float | None, now: float) -> float:
        """Return the monotonic time of a record, or now if it has none.

        Clocks of instances differ, so it is neither later than now nor older than what
        is remembered.
        """
        if at is None:
            return now
        return min(now, max(now - RECORD_TTL_S, at - self.clock_offset))

    def unpublished(self, now: float) -> list[CrashRecord | SoundRecord]:
        """Return the records that are due to be written to the store."""
        found: list[CrashRecord | SoundRecord] = [
            self.deaths[death].record for death in sorted(self.unpublished_deaths)
        ]
        for trait, due_at in self.unpublished_sound.items():
            deaths = frozenset(self.cleared[trait])
            if now >= due_at and len(deaths) >= PUBLISHED_PROOF_DEATHS:
                found.append(SoundRecord(trait, deaths))
        return found

    # Commands

    def record_loss(
        self,
        upstream: UpstreamInstance,
        traits: Sequence[str],
        known: Mapping[str, Suspicion],
        now: float,
        is_trial: bool = False,
        is_stall: bool = False,
        began_at: float = -math.inf,
    ) -> None:
        """Record that an upstream broke off a request that it had just begun.

        `known` is what was known of its traits when it was sent. If any of them is
        suspected, it remains to be found out whether the upstream has died. In a stall
        it has not answered, and is asked only if the request was suspected before. If
        the attempt began, at `began_at`, when the end of this incarnation was known, it
        went to a successor that the list does not show yet. A stall there tells nothing
        of that end.
        """
        chain = tuple(
            next_suspicion(
                trait, known.get(trait), is_trial and self.is_tried_by(trait, traits)
            )
            for trait in traits
            if not self.was_sound_lately(trait, now)
        )
        if not chain:
            return
        name = death_name(upstream.name, upstream.incarnation)
        death = self.deaths.get(name)
        if death is None:
            needs_check = not is_stall or bool(known)
            self.open_losses.add(upstream, chain, now, needs_check)
            return
        if is_stall and began_at > death.learned_at:
            return
        record = replace(death.record, chains=death.record.chains | {chain})
        if self.merge_crash(record, now):
            self.unpublished_deaths.add(name)

    def begin_check(self, upstream: UpstreamInstance) -> None:
        """Record that an upstream is being checked."""
        self.open_losses.begin_check(upstream)

    def record_check(
        self, upstream: UpstreamInstance, state: EndState, now: float
    ) -> CrashRecord | None:
        """Record what a check has found; return the death if it is a new one."""
        if state is EndState.UNKNOWN:
            self.open_losses.end_check(upstream)
            return None
        loss = self.open_losses.remove(upstream)
        if loss is None or state is EndState.RUNNING:
            return None
        return self.record_end(loss, now)

    def review_losses(
        self, has_ended: Callable[[UpstreamInstance], bool], now: float
    ) -> list[CrashRecord]:
        """Return the new deaths among the losses; forget those that are settled."""
        records = [
            self.record_end(loss, now)
            for loss in self.open_losses.review(has_ended, now)
        ]
        return [record for record in records if record is not None]

    def record_end(self, loss: Loss, now: float) -> CrashRecord | None:
        """Record that a loss was a death; return it if it is a new one."""
        chains = [self.without_sound(chain, now) for chain in loss.chains]
        record = CrashRecord(
            loss.upstream.name,
            loss.upstream.incarnation,
            frozenset(each for each in chains if each),
            now + self.clock_offset,
        )
        if not record.chains or not self.merge_crash(record, now):
            return None
        self.unpublished_deaths.add(record.death)
        return record

    def without_sound(self, chain: Chain, now: float) -> Chain:
        """Return a chain without the traits that were sound a short time ago."""
        return tuple(
            suspicion
            for suspicion in chain
            if not self.was_sound_lately(suspicion.trait, now)
        )

    def leave_trial(self, traits: Sequence[str], now: float) -> None:
        """Record that a request could make a trial now and may leave it to others."""
        for trait in traits:
            if self.is_blocked(trait) and self.leave_s(trait, traits) > 0.0:
                due_at = self.next_trial_at(trait)
                if now >= due_at > self.left_at.get(trait, -math.inf):
                    self.left_at[trait] = now

    def record_failed_claim(self, now: float) -> None:
        """Record that no trial could be claimed, since the store did not answer."""
        self.claim_failed_at = now

    def record_refusal(self, trait: str, now: float) -> None:
        """Record that a request was refused for a blocked trait."""
        self.refused_at[trait] = now

    def record_clean_run(self, traits: Iterable[str], now: float) -> None:
        """Record that a request with these traits ran well."""
        self.sound_at = {
            trait: at for trait, at in self.sound_at.items() if now - at < PROOF_VALID_S
        }
        for trait in traits:
            self.sound_at[trait] = now
            self.open_losses.clear_trait(trait)
            if trait in self.suspicions:
                self.clear(trait, frozenset(self.suspicions[trait]), now)
                self.unpublished_sound[trait] = (
                    now + self.order_of(trait) * PUBLISH_STAGGER_S
                )

    def clear(self, trait: str, deaths: frozenset[str], now: float) -> None:
        """Clear a trait of some deaths, those not known yet included."""
        self.cleared.setdefault(trait, {}).update(dict.fromkeys(deaths, now))
        self.withdraw(trait, deaths)

    def withdraw(self, trait: str, deaths: frozenset[str]) -> None:
        """Suspect a trait no longer of some deaths."""
        suspicions = self.suspicions.get(trait, {})
        for death in deaths & suspicions.keys():
            del suspicions[death]
        if not suspicions:
            self.suspicions.pop(trait, None)
            self.refused_at.pop(trait, None)
            self.left_at.pop(trait, None)

    def merge_trial(self, record: TrialRecord, now: float) -> bool:
        """Record a trial by this instance or another one; return whether it is new."""
        known = self.trials.get(record.trait)
        if known is not None and known.number >= record.number:
            return False
        tried_at = self.own_time(record.at, now)
        earlier = 0
        if known is not None:
            is_of_these = known.learned_at >= self.first_death_at(record.trait)
            earlier = known.earlier if is_of_these else known.number
        self.trials[record.trait] = Trial(record.number, tried_at, earlier)
        return True

    def merge_crash(self, record: CrashRecord, now: float) -> bool:
        """Add a death, or what another instance knows of it; return whether it is new.

        A death that is known already keeps its time, so a late record is not a new
        death. A trait that was sound here a short time ago is cleared of it.
        """
        self.forget_expired(now)
        death = self.deaths.get(record.death)
        known = death.record.chains if death is not None else frozenset()
        chains = known | record.chains
        if chains == known or (death is not None and len(known) >= MAX_CHAINS):
            return False
        if death is None:
            known_since = self.own_time(record.at, now)
            self.deaths[record.death] = Death(
                replace(record, chains=chains), known_since
            )
        else:
            death.record = replace(death.record, chains=chains)
        for suspicion in (each for chain in record.chains for each in chain):
            self.add_suspicion(suspicion, record.death)
            if self.was_sound_lately(suspicion.trait, now):
                self.clear(suspicion.trait, frozenset({record.death}), now)
                self.unpublished_sound.setdefault(
                    suspicion.trait,
                    now + self.order_of(suspicion.trait) * PUBLISH_STAGGER_S,
                )
        return True

    def add_suspicion(self, suspicion: Suspicion, death: str) -> None:
        """Suspect a trait of a death, unless it was cleared of it."""
        if death in self.cleared.get(suspicion.trait, ()):
            return
        suspicions = self.suspicions.setdefault(suspicion.trait, {})
        suspicions[death] = max(
            suspicion, suspicions.get(death, suspicion), key=severity
        )

    def merge_sound(self, record: SoundRecord, now: float) -> bool:
        """Clear a trait as another instance did; return whether that is new."""
        known = self.cleared.get(record.trait, {}).keys()
        is_new = not record.deaths <= known
        self.clear(record.trait, record.deaths, now)
        if is_new:
            self.sound_at[record.trait] = now
        if record.deaths >= self.cleared[record.trait].keys():
            self.unpublished_sound.pop(record.trait, None)
        return is_new

    def mark_published(self, record: CrashRecord | SoundRecord) -> None:
        """Record that the store has a record as it is now."""
        if isinstance(record, SoundRecord):
            if record.deaths >= self.cleared.get(record.trait, {}).keys():
                self.unpublished_sound.pop(record.trait, None)
            return
        death = self.deaths.get(record.death)
        if death is None or death.record.chains <= record.chains:
            self.unpublished_deaths.discard(record.death)

    def forget_expired(self, now: float) -> None:
        """Forget old deaths, the oldest above `MAX_DEATHS`, and what was cleared."""
        surplus = len(self.deaths) - MAX_DEATHS + 1
        expired = [name for name in self.deaths if self.is_expired(name, now)]
        for name in expired + list(self.deaths)[: max(0, surplus)]:
            if name in self.deaths:
                self.forget_death(name)
        self.trials = {
            trait: trial
            for trait, trial in self.trials.items()
            if now - trial.learned_at < RECORD_TTL_S
        }
        for trait, deaths in list(self.cleared.items()):
            recent = {d: at for d, at in deaths.items() if now - at < RECORD_TTL_S}
            if recent:
                self.cleared[trait] = recent
            else:
                del self.cleared[trait]
                self.unpublished_sound.pop(trait, None)

    def is_expired(self, name: str, now: float) -> bool:
        """Whether a death is old, and so are the later ones of the same traits.

        A request that goes on to be refused would otherwise be sent again as soon as
        the first of its deaths is forgotten.
        """
        death = self.deaths[name]
        if now - death.learned_at < RECORD_TTL_S:
            return False
        traits = {each.trait for chain in death.record.chains for each in chain}
        return all(
            now - self.last_seen_at(trait) >= RECORD_TTL_S
            for trait in traits
            if name in self.suspicions.get(trait, ())
        )

    def forget_death(self, name: str) -> None:
        """Forget one death."""
        death = self.deaths.pop(name)
        self.unpublished_deaths.discard(name)
        for suspicion in (each for chain in death.record.chains for each in chain):
            self.withdraw(suspicion.trait, frozenset({name}))


def position(chain: Chain, trait: str) -> int | None:
    """Return the place of a trait in a request's chain, or None if it is not there."""
    for number, suspicion in enumerate(chain):
        if suspicion.trait == trait:
            return number
    return None
