"""Checks how the entries of a configuration refer to and hide each other."""

from __future__ import annotations

from collections.abc import Iterator

from turmericusher.decisions.configuration_check.contents import (
    CheckedConfiguration,
    CheckedRoute,
    Entry,
)
from turmericusher.decisions.configuration_check.findings import (
    Code,
    Field,
    Finding,
    Place,
    Section,
    Severity,
)

NEVER_IN_PATHS = frozenset(" ?#")
"""Printable characters that the path of a request never holds: what follows a question
mark or a number sign belongs to the query or the fragment."""

WHOLE_SERVER = "*"
"""The path of an OPTIONS request about the whole server, the only one without `/`."""


def check_entries(configuration: CheckedConfiguration) -> Iterator[Finding]:
    """Yield the findings on names, services, unreachable entries and keys."""
    yield from check_names(configuration)
    yield from check_services(configuration)
    yield from check_reach(configuration)
    yield from check_keys(configuration)


def check_names(configuration: CheckedConfiguration) -> Iterator[Finding]:
    """Yield the entries whose name another one of the section has already."""
    first_places: dict[tuple[Section, str], int] = {}
    for entry in configuration.entries():
        if entry.name is None:
            continue
        first = first_places.setdefault((entry.section, entry.name), entry.index)
        if first != entry.index:
            yield Finding(
                Severity.ERROR,
                Code.DUPLICATE_NAME,
                place_of(entry, Field.NAME),
                f"name={entry.name!r} is that of {entry.section} {first} as well, "
                "counted from 0; rename or remove one",
            )


def check_services(configuration: CheckedConfiguration) -> Iterator[Finding]:
    """Yield wrong references to services, shares without weight, unused services."""
    known = {service.name for service in configuration.services}
    used: set[str] = set()
    for route in configuration.routes:
        shares = route.shares or ()
        used.update(share.name for share in shares)
        if route.service is not None:
            used.add(route.service)
            if route.service not in known:
                yield unknown_service(route, Field.SERVICE, None, route.service)
        for item, share in enumerate(shares):
            if share.name not in known:
                yield unknown_service(route, Field.SHARES, item, share.name)
        yield from check_shares(route)
    for service in configuration.services:
        if service.name is not None and service.name not in used:
            yield Finding(
                Severity.WARNING,
                Code.UNUSED_SERVICE,
                place_of(service),
                f"service={service.name!r} has no route and so no requests; "
                "add a route or remove the service",
            )


def unknown_service(
    route: CheckedRoute, field: Field, item: int | None, name: str
) -> Finding:
    """Return the finding that a route names a service that is not listed."""
    return Finding(
        Severity.ERROR,
        Code.UNKNOWN_SERVICE,
        place_of(route, field, item),
        f"service={name!r} of route {route.name!r} is not among the services; "
        "correct the name or add the service",
    )


def check_shares(route: CheckedRoute) -> Iterator[Finding]:
    """Yield what is wrong with the choice of a route's services.

    A single share gets all requests whatever its weight is, and shares that all have no
    weight get equal numbers of requests.
    """
    shares = route.shares or ()
    if route.are_services_readable and route.service is None and not shares:
        yield Finding(
            Severity.ERROR,
            Code.NO_SERVICE,
            place_of(route, Field.SERVICE),
            f"route {route.name!r} names no service and its requests are refused; "
            "name one service or the shares of several",
        )
    if route.service is not None and shares:
        yield Finding(
            Severity.ERROR,
            Code.TWO_SERVICES,
            place_of(route, Field.SHARES),
            f"route {route.name!r} names service={route.service!r} as well, which "
            "gets all requests; remove one of the two",
        )
        return
    has_weight = any(share.weight > 0 for share in shares)
    for item, share in enumerate(shares):
        place = place_of(route, Field.SHARES, item)
        if share.weight < 0:
            message = f"weight={share.weight!r} counts as 0; set it to 0 or more"
            yield Finding(Severity.ERROR, Code.OUT_OF_RANGE, place, message)
        elif share.weight == 0 and len(shares) > 1:
            effect = "is never chosen" if has_weight else "gets an equal share"
            yield Finding(
                Severity.WARNING,
                Code.NO_WEIGHT,
                place,
                f"service={share.name!r} with weight={share.weight!r} {effect}; "
                "give it a weight or remove it",
            )


def check_reach(configuration: CheckedConfiguration) -> Iterator[Finding]:
    """Yield the routes that no request can match.

    The longest matching prefix wins, so a shorter one still gets the paths that no
    longer one covers. Only the same prefix hides a route: the first one wins.
    """
    first_places: dict[tuple[str, str], CheckedRoute] = {}
    for route in configuration.routes:
        reason = None
        if route.host is not None and ":" in route.host:
            field = Field.HOST
            reason = f"host={route.host!r} holds a colon; write it without a port"
        elif route.prefix is not None and not can_begin_path(route.prefix):
            field = Field.PREFIX
            reason = (
                f"prefix={route.prefix!r} begins no path; begin it with '/' and use "
                "ASCII characters without spaces, '?' and '#'"
            )
        elif route.host is not None and route.prefix is not None:
            key = (route.host.lower(), route.prefix)
            first = first_places.setdefault(key, route)
            if first is not route:
                field = Field.PREFIX
                reason = (
                    f"host={route.host!r} and prefix={route.prefix!r} are those of "
                    f"route {first.name!r}, which comes first; remove one of the two"
                )
        if reason is not None:
            yield Finding(
                Severity.WARNING,
                Code.NEVER_MATCHES,
                place_of(route, field),
                f"route {route.name!r} never gets a request: {reason}",
            )


def can_begin_path(prefix: str) -> bool:
    """Whether the path of some request begins with a prefix."""
    if prefix in ("", WHOLE_SERVER):
        return True
    is_plain = prefix.isascii() and prefix.isprintable()
    return prefix[0] == "/" and is_plain and NEVER_IN_PATHS.isdisjoint(prefix)


def check_keys(configuration: CheckedConfiguration) -> Iterator[Finding]:
    """Yield keys of two teams, teams without keys, routes that need a key in vain."""
    if configuration.teams is None:
        return
    owners: dict[str, Entry] = {}
    for team in configuration.teams:
        for item, key in enumerate(team.keys or ()):
            owner = owners.setdefault(key, team)
            if owner is not team:
                yield Finding(
                    Severity.ERROR,
                    Code.DUPLICATE_KEY,
                    place_of(team, Field.KEYS, item),
                    f"the key is one of team {owner.name!r} as well, and only the "
                    "last team has it; give each team keys of its own",
                )
        if team.keys == ():
            yield Finding(
                Severity.WARNING,
                Code.NO_KEYS,
                place_of(team, Field.KEYS),
                f"team {team.name!r} has no key and so no requests; add one",
            )
    if owners or any(team.keys is None for team in configuration.teams):
        return
    for route in configuration.routes:
        if route.needs_team:
            yield Finding(
                Severity.WARNING,
                Code.NO_KEYS,
                place_of(route),
                f"route {route.name!r} needs the key of a team, and no team has one; "
                "add a key or make the route public",
            )


def place_of(entry: Entry, field: Field = Field.NONE, item: int | None = None) -> Place:
    """Return the place of an entry, of its field, or of an item of that."""
    return Place(entry.section, entry.index, field, item)
