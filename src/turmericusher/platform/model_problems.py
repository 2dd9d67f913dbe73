"""Finds all invalid fields of outside data; decoding stops at the first one."""

from __future__ import annotations

import types
import typing
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

import msgspec

from turmericusher.decisions.configuration_check.findings import Code
from turmericusher.platform.decoding import WireModel, decode_json, decode_model
from turmericusher.platform.records import MAX_COUNT

SHOWN_CHARACTERS = 80
"""Length to which a message shortens an invalid value."""


@dataclass(frozen=True, slots=True)
class Problem:
    """An invalid field: its place, such as `routes[2].kind`, and what is wrong."""

    code: Code
    place: str
    message: str


def find_problems(
    kind: Any, value: bytes, place: str, secret: frozenset[str] = frozenset()
) -> Iterator[Problem]:
    """Yield what is invalid in JSON text that is to be of a type.

    The values of the fields in `secret` are not shown.
    """
    details = list(find_inner_problems(kind, value, place, secret))
    if details:
        yield from details
        return
    try:
        decoded = decode_model(kind, value)
    except ValueError as error:
        hidden = place.rpartition(".")[2].partition("[")[0] in secret
        shown = "" if hidden else f"{shorten(value)}: "
        allowed = typing.get_args(kind) if is_choice(kind) else ()
        advice = f"use one of {', '.join(allowed)}" if allowed else "correct it"
        reason = str(error).partition(" - at `$")[0]
        yield Problem(Code.INVALID_FIELD, place, f"{shown}{reason}; {advice}")
        return
    if isinstance(decoded, int | float) and abs(decoded) > MAX_COUNT:
        # A larger integer cannot be converted to a float where one is needed.
        message = f"{shorten(value)}: beyond {MAX_COUNT}; set a smaller number"
        yield Problem(Code.OUT_OF_RANGE, place, message)


def find_inner_problems(
    kind: Any, value: bytes, place: str, secret: frozenset[str]
) -> Iterator[Problem]:
    """Yield what is invalid in the fields of an object or the items of a list."""
    for alternative in alternatives(kind):
        arguments = typing.get_args(alternative)
        if typing.get_origin(alternative) is tuple and arguments[-1] is ...:
            items = decode_or_none(list[msgspec.Raw], value)
            for index, item in enumerate(items or ()):
                inner_place = f"{place}[{index}]"
                yield from find_problems(arguments[0], bytes(item), inner_place, secret)
        elif is_model(alternative):
            _, problems = read_fields(alternative, value, place, secret)
            yield from problems


def read_fields(
    model: type[WireModel],
    value: bytes,
    place: str,
    secret: frozenset[str] = frozenset(),
) -> tuple[dict[str, Any], list[Problem]]:
    """Return the valid fields of an object, defaults included, and the problems.

    Both are empty if the text is no object at all.
    """
    entries = decode_or_none(dict[str, msgspec.Raw], value)
    if entries is None:
        return {}, []
    values: dict[str, Any] = {}
    problems: list[Problem] = []
    for field in msgspec.structs.fields(model):
        inner_place = f"{place}.{field.name}" if place else field.name
        if field.name in entries:
            text = bytes(entries[field.name])
            found = list(find_problems(field.type, text, inner_place, secret))
            problems += found
            if not found:
                values[field.name] = decode_model(field.type, text)
        elif field.required:
            problem = Problem(Code.MISSING_FIELD, inner_place, "is missing; set it")
            problems.append(problem)
        else:
            values[field.name] = field.default
    return values, problems


def alternatives(kind: Any) -> tuple[Any, ...]:
    """Return the members of a union, or the type itself."""
    is_union = typing.get_origin(kind) in (typing.Union, types.UnionType)
    return typing.get_args(kind) if is_union else (kind,)


def is_choice(kind: Any) -> bool:
    """Whether a type lists the values that are allowed."""
    return typing.get_origin(kind) is typing.Literal


def is_model(kind: Any) -> bool:
    """Whether a type is a model of outside data."""
    return isinstance(kind, type) and issubclass(kind, WireModel)


def decode_or_none(kind: type[Any], value: bytes) -> Any:
    """Return decoded JSON text, or None if it is not of the type."""
    try:
        return decode_model(kind, value)
    except ValueError:
        return None


def shorten(value: bytes) -> str:
    """Return the beginning of an invalid value as it is printed."""
    try:
        shown = repr(decode_json(value))
    except ValueError:
        shown = repr(value)
    if len(shown) <= SHOWN_CHARACTERS:
        return shown
    return f"{shown[:SHOWN_CHARACTERS]}..."
