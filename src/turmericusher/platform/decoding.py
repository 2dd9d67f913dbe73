"""Decodes and validates outside data, and describes what is wrong with it.

The models are msgspec structs: validated like other models, and quick to load.
"""

from __future__ import annotations

import re
from typing import Any, TypeVar

import msgspec

from turmericusher.logs import log_event
from turmericusher.settings_files import check_address

Model = TypeVar("Model")

OWN_CHECK = re.compile(r"\w+=")
"""What a message of `check_addresses` begins with: the field and its value."""

MISSING_FIELD = re.compile(r"Object missing required field `(\w+)`")


class WireModel(msgspec.Struct, frozen=True):
    """Base of models of outside data: immutable, and unknown fields are ignored.

    A value of another type than the field's is refused instead of converted.
    """


PEER_ADDRESS = re.compile(r"(\[[0-9a-fA-F:.%]+\]|[0-9.]+):0*[1-9][0-9]{0,4}")
"""An address to connect to: other digits and port 0 are none."""


def check_addresses(**addresses: str | None) -> None:
    """Raise `ValueError` that names the first address that is not `ip:port`."""
    for name, value in addresses.items():
        try:
            if value is not None:
                check_address(value)
                if PEER_ADDRESS.fullmatch(value) is None:
                    raise ValueError("write it as IP:PORT, with a port from 1 on")
        except ValueError as error:
            raise ValueError(f"{name}={value!r}: {error}") from None


def decode_json(data: bytes) -> Any:
    """Return JSON values; raise `ValueError` for anything else."""
    return decode_model(Any, data)


def decode_model(model: type[Model], data: bytes) -> Model:
    """Return the model that JSON text describes; raise `ValueError` if it does not."""
    try:
        return msgspec.json.decode(data, type=model)
    except RecursionError as error:
        raise ValueError("the value is nested too deeply") from error


def parse_or_log(
    model: type[Model], value: bytes, event: str, **fields: object
) -> Model | None:
    """Parse a record; if it is invalid, log `event` with the reason and return None."""
    try:
        return decode_model(model, value)
    except ValueError as error:
        reason = describe_decoding_error("record", error)
        log_event(event, **fields, reason=reason)
        return None


def describe_decoding_error(subject: str, error: Exception, data: object = None) -> str:
    """Return one line with the invalid field, its value in `data`, and the reason."""
    message, _, path = str(error).partition(" - at `$")
    where = f"{subject}{path.removesuffix('`')}"
    if OWN_CHECK.match(message):
        return f"{where}.{message}"
    missing = MISSING_FIELD.match(message)
    if missing is not None:
        return f"{where}.{missing[1]} is missing; set it"
    value = data if path else None
    for part in path.removesuffix("`").split(".")[1:]:
        value = value.get(part) if isinstance(value, dict) else None
    return f"{where}: {message}" if value is None else f"{where}={value!r}: {message}"
