"""Checks the numbers of a configuration: their ranges, and whether they fit together.

A pair of limits contradicts each other if one of the two can never take effect.
"""

from __future__ import annotations

from collections.abc import Iterator

from turmericusher.decisions.configuration_check.contents import (
    CheckedConfiguration,
    CheckedLimits,
    CheckedRoute,
    Entry,
)
from turmericusher.decisions.configuration_check.entries import place_of
from turmericusher.decisions.configuration_check.findings import (
    Code,
    Field,
    Finding,
    Place,
    Section,
    Severity,
)
from turmericusher.decisions.retrying.retries import RetryBounds
from turmericusher.profiles import LEAST_URGENT, MOST_URGENT


def check_numbers(
    configuration: CheckedConfiguration, bounds: RetryBounds
) -> Iterator[Finding]:
    """Yield the numbers that are out of range or contradict each other."""
    for route in configuration.routes:
        yield from check_route(route, bounds)
        yield from check_urgency(route, route.urgency)
    for team in configuration.teams or ():
        yield from check_urgency(team, team.urgency)
    yield from check_limits(configuration.limits)


def check_route(route: CheckedRoute, bounds: RetryBounds) -> Iterator[Finding]:
    """Yield the findings on a route's times and attempts."""
    times = (
        (Field.TIMEOUT, route.timeout_s),
        (Field.TARGET_LATENCY, route.target_latency_s),
        (Field.LONGEST_GAP, route.longest_gap_s),
    )
    for field, time_s in times:
        if time_s is not None and time_s <= 0:
            yield not_positive(place_of(route, field), f"{time_s:g} s")
    attempts = route.max_attempts
    if attempts is not None and attempts < 1:
        yield not_positive(place_of(route, Field.MAX_ATTEMPTS), f"{attempts} attempts")
    if attempts is not None and attempts - 1 > bounds.slack + bounds.ratio:
        yield contradiction(
            place_of(route, Field.MAX_ATTEMPTS),
            f"{attempts} attempts are more than the retry budget allows for one "
            f"request: {bounds.slack:g} + {bounds.ratio:g} retries in "
            f"{bounds.window_s:g} s; set fewer",
        )
    gap_s = route.longest_gap_s if route.is_stream else None
    for field, time_s in (times[1], (Field.LONGEST_GAP, gap_s)):
        if time_s is not None and 0 < (route.timeout_s or 0) < time_s:
            yield contradiction(
                place_of(route, field),
                f"the target of {time_s:g} s, set or by default, is longer than the "
                f"time-out of {route.timeout_s:g} s, which ends a request before it; "
                "set a shorter target or a longer time-out",
            )


def check_urgency(entry: Entry, urgency: int | None) -> Iterator[Finding]:
    """Yield an urgency outside the range, to which it is clamped."""
    if urgency is not None and not MOST_URGENT <= urgency <= LEAST_URGENT:
        nearest = MOST_URGENT if urgency < MOST_URGENT else LEAST_URGENT
        yield Finding(
            Severity.WARNING,
            Code.OUT_OF_RANGE,
            place_of(entry, Field.URGENCY),
            f"{urgency} counts as {nearest}; set {MOST_URGENT} (the most urgent) to "
            f"{LEAST_URGENT}",
        )


def check_limits(limits: CheckedLimits) -> Iterator[Finding]:
    """Yield the findings on the limits on what callers may send."""
    for field, value in (
        (Field.HEADER_BYTES, limits.header_bytes),
        (Field.HEADER_TIMEOUT, limits.header_timeout_s),
        (Field.IDLE_TIMEOUT, limits.idle_timeout_s),
    ):
        if value is not None and value <= 0:
            yield not_positive(Place(Section.LIMITS, field=field), f"{value:g}")
    header, body = limits.header_bytes, limits.body_bytes
    if body is not None and body < 0:
        yield not_positive(Place(Section.LIMITS, field=Field.BODY_BYTES), str(body))
    if header is not None and body is not None and header > body > 0:
        yield contradiction(
            Place(Section.LIMITS, field=Field.HEADER_BYTES),
            f"headers of {header} bytes are allowed, but bodies of only {body}; "
            "check whether the two are exchanged",
        )
    header_s, idle_s = limits.header_timeout_s, limits.idle_timeout_s
    if header_s is not None and idle_s is not None and header_s > idle_s > 0:
        yield contradiction(
            Place(Section.LIMITS, field=Field.HEADER_TIMEOUT),
            f"headers may take {header_s:g} s, but an idle connection is closed "
            f"after {idle_s:g} s; set a shorter time for headers",
        )


def not_positive(place: Place, value: str) -> Finding:
    """Return the finding that a number must be above 0."""
    message = f"{value} is not above 0; set a positive number"
    return Finding(Severity.ERROR, Code.OUT_OF_RANGE, place, message)


def contradiction(place: Place, message: str) -> Finding:
    """Return the finding that two limits contradict each other."""
    return Finding(Severity.WARNING, Code.CONTRADICTION, place, message)
