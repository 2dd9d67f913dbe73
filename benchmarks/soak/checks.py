"""What must hold, read from what callers and upstreams saw.

Each check is a pure function of the history and returns what it found, empty where all
is well. They run again and again while the soak runs, and once more at its end.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from benchmarks.soak.callers import ANSWER_SLACK_S
from benchmarks.soak.history import (
    REFUSALS,
    STABLE_S,
    Arrival,
    History,
    LeavingMark,
    SentRequest,
)
from benchmarks.soak.schedule import SignalFault, UpstreamAct
from benchmarks.soak.world import APPLY_S, DRAIN_S, RETRY_RATIO, RETRY_SLACK
from turmericusher.decisions.routing import RequestKind

GONE_S = 0.5
"""Time after a caller has left in which the work for it ends."""

GONE_SHARE = 0.25
GONE_LEAST = 4
"""The users' rule is on the share of the requests that callers left, once there are
more than a few."""

BUDGET_WINDOW_S = 10.0
RECOVERY_S = 15.0
"""The users' `recovery_s`: after the last fault, and the calm that it needs."""

ONCE = frozenset({RequestKind.NON_IDEMPOTENT, RequestKind.STREAM})


@dataclass(frozen=True, slots=True)
class Finding:
    """A promise that was broken; `check` is the name of the check."""

    check: str
    message: str


def right_answers(history: History) -> Iterator[str]:
    """Yield the answers that were not those of their requests."""
    for request in history.requests.values():
        if request.error:
            yield f"{describe(request)}: {request.error}"


def passed_on_unchanged(history: History) -> Iterator[str]:
    """Yield the requests that ran otherwise than they were sent."""
    for arrival in history.arrivals:
        if arrival.error:
            yield f"{arrival.request_id} at {arrival.upstream}: {arrival.error}"


def at_most_once(history: History) -> Iterator[str]:
    """Yield the requests that must not repeat and ran again."""
    for request_id, count in history.runs().items():
        request = history.requests.get(request_id)
        if request is not None and request.kind in ONCE and count > 1:
            yield f"{describe(request)} ran {count} times"


def true_refusals(history: History) -> Iterator[str]:
    """Yield the requests that ran though their callers were told otherwise."""
    runs = history.runs()
    for request in history.requests.values():
        is_refused = request.status in REFUSALS and request.kind in ONCE
        if is_refused and runs[request.request_id]:
            yield f"{describe(request)} was refused with {request.status} and ran"


def newest_configuration(history: History) -> Iterator[str]:
    """Yield the versions that were not in force in time, or no more."""
    known: dict[tuple[str, int], int] = {}
    for probe in sorted(history.probes, key=lambda probe: probe.sent_at):
        place = (probe.instance, probe.life)
        if probe.is_known:
            known[place] = max(known.get(place, 0), probe.version)
            continue
        if probe.version <= known.get(place, 0):
            yield f"{probe} though version {known[place]} was in force there"
        late_s = probe.sent_at - history.accepted[probe.version] - APPLY_S
        if late_s > 0 and is_in_touch(history, probe.instance, probe.sent_at):
            yield f"{probe} is {late_s:.2f} s beyond the bound"


def nothing_to_leaving(history: History) -> Iterator[str]:
    """Yield the requests that reached an upstream long after it was marked."""
    for mark in history.leavings:
        for arrival in history.arrivals:
            request = history.requests.get(arrival.request_id)
            is_late = mark.at + DRAIN_S < arrival.at < mark.at + DRAIN_S + STABLE_S
            if request is None or arrival.upstream != mark.upstream or not is_late:
                continue
            is_in_force = not returned(history, mark, arrival.at)
            if is_in_force and is_in_touch(history, request.instance, arrival.at):
                yield f"{describe(request)} reached {mark.upstream} after its mark"


def returned(history: History, mark: LeavingMark, at: float) -> bool:
    """Whether the upstream that was marked had left and was back at a time."""
    return any(
        one.how == UpstreamAct.LEAVE and one.begins <= mark.at and one.ends <= at
        for one in history.disturbances_of(mark.upstream)
    )


def planned_stops_cut_nothing(history: History) -> Iterator[str]:
    """Yield the requests that a planned stop cut off, or that it left unanswered."""
    arrivals = history.arrivals_by_request()
    for stop in history.disturbances:
        if stop.how != SignalFault.STOP:
            continue
        for request in history.requests.values():
            if request.instance != stop.subject or request.ended_at is None:
                continue
            is_near = (request.sent_at < stop.begins <= request.ended_at) or (
                stop.begins <= request.sent_at <= stop.ends
            )
            found = arrivals.get(request.request_id, [])
            if not is_near or is_answered(request) or not found:
                continue
            if not was_disturbed(history, request, found, SignalFault.STOP):
                yield f"{describe(request)} was cut by the stop at {stop.begins:.2f}"


def answered_in_time(history: History) -> Iterator[str]:
    """Yield the requests that had no final answer by their deadline."""
    for request in history.requests.values():
        ended_at = request.ended_at
        if ended_at is None or request.left_at is not None:
            continue
        late_s = ended_at - request.deadline
        if late_s > ANSWER_SLACK_S and not history.disturbed(
            request.instance, request.sent_at, ended_at
        ):
            yield f"{describe(request)} ended {late_s:.2f} s after its deadline"


def bounded_repeats(history: History) -> Iterator[str]:
    """Yield the windows in which too many requests were sent again."""
    seen: set[str] = set()
    repeats = []
    for arrival in history.arrivals:
        if arrival.request_id in seen:
            repeats.append(arrival.at)
        seen.add(arrival.request_id)
    sent = sorted(request.sent_at for request in history.requests.values())
    for begins in repeats:
        ends = begins + BUDGET_WINDOW_S
        count = sum(begins <= at < ends for at in repeats)
        own = sum(begins <= at < ends for at in sent)
        before = sum(begins - BUDGET_WINDOW_S <= at < begins for at in sent)
        half = BUDGET_WINDOW_S / 2
        around = sum(begins - half <= at < ends - half for at in sent)
        allowed = RETRY_RATIO * max(own, before, around) + RETRY_SLACK
        if count > allowed:
            yield f"{count} repeats from {begins:.2f} on, allowed are {allowed:.0f}"
            return


def work_ends_with_callers(history: History) -> Iterator[str]:
    """Yield the share of requests that were worked on after their callers had left."""
    late, counted = [], 0
    for arrival in history.arrivals:
        request = history.requests.get(arrival.request_id)
        if request is None or request.left_at is None or not arrival.has_run:
            continue
        if arrival.ended_at is not None and arrival.ended_at <= request.left_at:
            continue
        ends = request.left_at + GONE_S
        if was_disturbed(history, request, [arrival], ends=ends):
            continue
        counted += 1
        if arrival.ended_at is not None and arrival.ended_at > ends:
            late.append(arrival.request_id)
    if len(late) > max(GONE_LEAST, GONE_SHARE * counted):
        yield f"{len(late)} of {counted} ran on after their callers had left: {late}"


def served_after_recovery(history: History) -> Iterator[str]:
    """Yield the requests that were not served once all faults were over.

    Those refused for load are judged by what they get when they come back as told.
    """
    from_s = history.faults_end_at + RECOVERY_S
    for request in history.requests.values():
        is_judged = request.left_at is None and not request.comes_back
        if request.sent_at < from_s or not is_judged:
            continue
        if request.ended_at is not None and not request.is_served:
            yield f"{describe(request)} was not served after the recovery"


def no_unexpected_exit(history: History) -> Iterator[str]:
    """Yield the instances that ended by themselves, late or badly."""
    for one in history.exits:
        yield f"{one.instance} at {one.at:.2f}: {one.message}"


CHECKS: tuple[Callable[[History], Iterator[str]], ...] = (
    right_answers,
    passed_on_unchanged,
    at_most_once,
    true_refusals,
    newest_configuration,
    nothing_to_leaving,
    planned_stops_cut_nothing,
    answered_in_time,
    bounded_repeats,
    work_ends_with_callers,
    served_after_recovery,
    no_unexpected_exit,
)


def check_all(history: History) -> list[Finding]:
    """Return everything that was found."""
    return [
        Finding(check.__name__, message)
        for check in CHECKS
        for message in check(history)
    ]


def describe(request: SentRequest) -> str:
    """Return a request in short."""
    return (
        f"{request.request_id} ({request.kind.value}, {request.instance}, sent "
        f"{request.sent_at:.2f}, status {request.status}, event {request.last_event})"
    )


def is_answered(request: SentRequest) -> bool:
    """Whether a caller got a whole answer, or left by itself."""
    return request.is_whole or request.left_at is not None


def is_in_touch(history: History, instance: str, at: float) -> bool:
    """Whether an instance and the store have been calm for long enough at a time."""
    return not any(history.disturbed(part, at, at) for part in (instance, "store"))


def was_disturbed(
    history: History,
    request: SentRequest,
    arrivals: list[Arrival],
    without: str = "",
    ends: float | None = None,
) -> bool:
    """Whether a request's instance or upstreams were disturbed while it ran."""
    until = ends if ends is not None else request.ended_at or request.sent_at
    begins = request.sent_at
    return history.disturbed(request.instance, begins, until, without) or any(
        history.disturbed(arrival.upstream, begins, until) for arrival in arrivals
    )
