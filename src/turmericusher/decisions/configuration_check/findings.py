"""What a check of a configuration reports."""

from __future__ import annotations

import enum
from dataclasses import dataclass


class Severity(enum.StrEnum):
    """How serious a finding is.

    ERROR: part of the configuration would be left out, overridden or refused. WARNING:
    it takes effect, but hardly as meant. CHANGE: it differs from the version in force.
    """

    ERROR = "error"
    WARNING = "warning"
    CHANGE = "change"


class Code(enum.StrEnum):
    """What was found; stable and meant for programs."""

    UNREADABLE = "unreadable"
    MISSING_FIELD = "missing_field"
    INVALID_FIELD = "invalid_field"
    OUT_OF_RANGE = "out_of_range"
    DUPLICATE_NAME = "duplicate_name"
    DUPLICATE_KEY = "duplicate_key"
    UNKNOWN_SERVICE = "unknown_service"
    NO_SERVICE = "no_service"
    TWO_SERVICES = "two_services"
    NEVER_MATCHES = "never_matches"
    NO_WEIGHT = "no_weight"
    UNUSED_SERVICE = "unused_service"
    NO_KEYS = "no_keys"
    CONTRADICTION = "contradiction"
    OLD_VERSION = "old_version"
    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


class Section(enum.StrEnum):
    """The part of a configuration that a finding is about."""

    WHOLE = "configuration"
    ROUTES = "route"
    SERVICES = "service"
    TEAMS = "team"
    LIMITS = "limits"


class Field(enum.StrEnum):
    """The field that a finding is about; NONE for a whole entry."""

    NONE = ""
    NAME = "name"
    VERSION = "version"
    HOST = "host"
    PREFIX = "prefix"
    SERVICE = "service"
    SHARES = "shares"
    TIMEOUT = "timeout"
    TARGET_LATENCY = "target_latency"
    LONGEST_GAP = "longest_gap"
    MAX_ATTEMPTS = "max_attempts"
    URGENCY = "urgency"
    KEYS = "keys"
    HEADER_BYTES = "header_bytes"
    BODY_BYTES = "body_bytes"
    HEADER_TIMEOUT = "header_timeout"
    IDLE_TIMEOUT = "idle_timeout"


@dataclass(frozen=True, slots=True)
class Place:
    """Where a finding is; `index` counts entries and `item` the items of a field."""

    section: Section
    index: int | None = None
    field: Field = Field.NONE
    item: int | None = None


@dataclass(frozen=True, slots=True)
class Finding:
    """One finding; its message says what is wrong and what to do."""

    severity: Severity
    code: Code
    place: Place
    message: str
