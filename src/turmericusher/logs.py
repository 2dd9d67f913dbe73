"""Structured logs: each event is one line of key=value pairs.

`log_event` returns at once while no stream is configured, so that programs which use
the library without logs pay nothing for them. Events go through eliot, so that a
program may add destinations of its own, or, with `is_direct`, straight to the stream:
an instance whose callers wait for its start does not load eliot.
"""

from __future__ import annotations

import json
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from datetime import UTC, datetime
from functools import singledispatch
from typing import Protocol

MAX_VALUE_CHARACTERS = 2_000
QUOTED_CHARACTERS = frozenset(" \"'=\\")


class TextSink(Protocol):
    """Accepts text, as a text stream does."""

    def write(self, text: str, /) -> int:
        """Accept some text and return the number of its characters."""
        ...

    def flush(self) -> None:
        """Write out any buffered text."""
        ...


@dataclass(slots=True)
class LineWriter:
    """Writes each event as one line to `stream`; also a destination of eliot."""

    stream: TextSink

    def __call__(self, message: dict[str, object]) -> None:
        """Write one message; eliot shields the caller from a stream that fails."""
        self.stream.write(format_message(message) + "\n")
        self.stream.flush()

    def write_event(self, event: str, fields: dict[str, object]) -> None:
        """Write one event without eliot; a stream that fails is no error."""
        message = {"timestamp": time.time(), "message_type": event, "fields": fields}
        try:
            self(message)
        except (OSError, ValueError):
            return


@dataclass(slots=True)
class LogState:
    """Global state of logging: `emit` receives events; None turns logs off.

    `writer` writes them, and `is_direct` tells that it gets them without eliot.
    `event_filter` decides whether a line of an event may be written; None allows all.
    """

    writer: LineWriter | None = None
    is_direct: bool = False
    emit: Callable[[str, dict[str, object]], None] | None = None
    event_filter: Callable[[str], bool] | None = None


STATE = LogState()


def log_event(event: str, /, **fields: object) -> None:
    """Log one event with its fields; cheap while no stream is configured."""
    if STATE.emit is None:
        return
    if STATE.event_filter is not None and not STATE.event_filter(event):
        return
    STATE.emit(event, fields)


def configure_logs(stream: TextSink | None, is_direct: bool = False) -> None:
    """Write all later events to `stream`; None turns logs off."""
    if STATE.writer is not None and not STATE.is_direct:
        import eliot

        eliot.remove_destination(STATE.writer)
    STATE.writer = STATE.emit = None
    STATE.is_direct = is_direct
    if stream is None:
        return
    STATE.writer = LineWriter(stream)
    if is_direct:
        STATE.emit = STATE.writer.write_event
        return
    import eliot

    def emit_through_eliot(event: str, fields: dict[str, object]) -> None:
        # The fields are passed as one value because eliot reserves some field names.
        eliot.log_message(event, fields=fields)

    eliot.add_destinations(STATE.writer)
    STATE.emit = emit_through_eliot


@contextmanager
def logging_to(stream: TextSink) -> Iterator[None]:
    """Log to `stream` inside the context, and to the previous stream after it."""
    previous_writer, was_direct = STATE.writer, STATE.is_direct
    configure_logs(stream)
    try:
        yield
    finally:
        previous_stream = previous_writer.stream if previous_writer else None
        configure_logs(previous_stream, was_direct)


def format_message(message: dict[str, object]) -> str:
    """Return a message, as eliot has it, as one line of key=value pairs."""
    fields = message.get("fields")
    pairs = [
        ("time", format_time(message.get("timestamp"))),
        ("event", message.get("message_type", "")),
        *(fields.items() if isinstance(fields, dict) else ()),
    ]
    return " ".join(f"{key}={format_value(value)}" for key, value in pairs)


def format_time(timestamp: object) -> str:
    """Return seconds since the epoch as RFC 3339 in UTC, with milliseconds."""
    if not isinstance(timestamp, int | float):
        return ""
    moment = datetime.fromtimestamp(timestamp, UTC)
    return moment.isoformat(timespec="milliseconds").replace("+00:00", "Z")


@singledispatch
def format_value(value: object) -> str:
    """Return a value as text for a log line, quoted where it would be ambiguous."""
    return quote_if_needed(str(value))


@format_value.register
def format_none(value: None) -> str:
    """Return `null`, as JSON writes None."""
    return "null"


@format_value.register
def format_bool(value: bool) -> str:
    """Return `current` or `false`, as JSON writes a bool."""
    return "true" if value else "false"


@format_value.register
def format_float(value: float) -> str:
    """Return six significant digits, which resolve a microsecond in a second."""
    return f"{value:.6g}"


def quote_if_needed(text: str) -> str:
    """Quote text as a JSON string unless it is one plain ASCII word.

    Text over `MAX_VALUE_CHARACTERS` is truncated.
    """
    if len(text) > MAX_VALUE_CHARACTERS:
        text = text[:MAX_VALUE_CHARACTERS] + "..."
    is_plain = text.isascii() and text.isprintable() and text != ""
    if is_plain and QUOTED_CHARACTERS.isdisjoint(text):
        return text
    return json.dumps(text)
