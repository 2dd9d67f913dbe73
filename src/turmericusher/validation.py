"""Text for errors of validated models."""

from __future__ import annotations

from pydantic import ValidationError


def describe_validation_error(subject: str, error: ValidationError) -> str:
    """Return one line with the first invalid field, its value and the reason."""
    first = error.errors()[0]
    where = ".".join(str(part) for part in first["loc"])
    value = first.get("input")
    name = f"{subject}.{where}" if where else subject
    return f"{name}={value!r}: {first['msg']}"
