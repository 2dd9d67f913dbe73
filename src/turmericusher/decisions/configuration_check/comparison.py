"""Compares a configuration with the version in force."""

from __future__ import annotations

from collections.abc import Iterator

from turmericusher.decisions.configuration_check.contents import (
    CheckedConfiguration,
    Entry,
    Hidden,
    Settings,
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

ABSENT = "(absent)"


def compare(
    new: CheckedConfiguration, in_force: CheckedConfiguration
) -> Iterator[Finding]:
    """Yield a version that is not higher, and what differs between two versions.

    Entries are compared by name. The place of a removed entry is that in the version in
    force.
    """
    if (
        new.version is not None
        and in_force.version is not None
        and new.version <= in_force.version
    ):
        yield Finding(
            Severity.ERROR,
            Code.OLD_VERSION,
            Place(Section.WHOLE, field=Field.VERSION),
            f"version={new.version!r} is not above version={in_force.version!r}, which "
            "is in force, and is ignored; set a higher one",
        )
    if (new.teams is None) is not (in_force.teams is None):
        effect = "no keys any more" if new.teams is None else "keys from now on"
        yield change(Code.CHANGED, Place(Section.TEAMS), f"callers need {effect}")
    before = {(entry.section, entry.name): entry for entry in in_force.entries()}
    after = {(entry.section, entry.name): entry for entry in new.entries()}
    for key, entry in after.items():
        if entry.name is None:
            continue
        if key not in before:
            yield change(Code.ADDED, place_of(entry), f"{subject(entry)} is new")
            continue
        changes = describe_changes(before[key].settings, entry.settings)
        if changes:
            message = f"{subject(entry)}: {changes}"
            yield change(Code.CHANGED, place_of(entry), message)
    for key, entry in before.items():
        if entry.name is not None and key not in after:
            message = f"{subject(entry)} is in force and no longer listed"
            yield change(Code.REMOVED, place_of(entry), message)
    changes = describe_changes(in_force.limits.settings, new.limits.settings)
    if changes:
        yield change(Code.CHANGED, Place(Section.LIMITS), changes)


def describe_changes(before: Settings, after: Settings) -> str:
    """Return the fields that differ with both values; secret ones without them."""
    parts = []
    for name in sorted({*before, *after}):
        old, new = before.get(name, ABSENT), after.get(name, ABSENT)
        if old == new:
            continue
        is_hidden = isinstance(old, Hidden) or isinstance(new, Hidden)
        parts.append(f"{name} differs" if is_hidden else f"{name}: {old!r} -> {new!r}")
    return ", ".join(parts)


def subject(entry: Entry) -> str:
    """Return the section and the name of an entry."""
    return f"{entry.section} {entry.name!r}"


def change(code: Code, place: Place, message: str) -> Finding:
    """Return a difference to the version in force."""
    return Finding(Severity.CHANGE, code, place, message)
