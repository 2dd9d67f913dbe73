"""Exceptions of turmericusher, their verdicts and their error codes.

Every error that reaches a caller carries a `Verdict`, which says whether the request
may have run, and an `ErrorCode`, which is stable and meant for programs.
"""

from __future__ import annotations

import enum


class Verdict(enum.StrEnum):
    """Whether the request that an error responds to has run or may have run."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


class ErrorCode(enum.StrEnum):
    """Stable error codes, as callers and operators see them."""

    INVALID_SETTINGS = "invalid_settings"
    INVALID_REQUEST = "invalid_request"
    UNSUPPORTED_PARAMETER = "unsupported_parameter"
    REQUEST_TOO_LARGE = "request_too_large"
    UNAUTHORIZED = "unauthorized"
    UNKNOWN_PROFILE = "unknown_profile"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_ROUTE = "unknown_route"
    UNSUPPORTED_ROUTE = "unsupported_route"
    NO_CONFIGURATION = "no_configuration"
    INVALID_KEY = "invalid_idempotency_key"
    KEY_EXPIRED = "idempotency_key_expired"
    KEY_REUSED = "idempotency_key_reused"
    REQUEST_IN_PROGRESS = "request_in_progress"
    OVERLOADED = "overloaded"
    WAIT_EXCEEDED = "wait_exceeded"
    NO_UPSTREAM = "no_upstream"
    UPSTREAM_FAILED = "upstream_failed"
    UPSTREAM_REJECTED = "upstream_rejected"
    REQUEST_KILLS_UPSTREAMS = "request_kills_upstreams"
    INSTANCE_STOPPING = "instance_stopping"
    INSTANCE_STALE = "instance_stale"
    STORE_UNAVAILABLE = "store_unavailable"
    STORE_OUTCOME_UNKNOWN = "store_outcome_unknown"
    REVISION_CONFLICT = "revision_conflict"
    PROFILE_RETIRED = "profile_retired"
    ANSWER_INTERRUPTED = "answer_interrupted"
    OUTCOME_TOO_LARGE = "outcome_too_large"
    INTERNAL = "internal"


class TurmericusherError(Exception):
    """Base class of all errors raised by turmericusher.

    `retry_after_s` is the number of seconds after which a retry is useful, or None if
    a retry would get the same response.
    """

    def __init__(
        self,
        code: ErrorCode,
        message: str,
        *,
        verdict: Verdict = Verdict.NOT_RUN,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(message)
        self.code = code
        self.message = message
        self.verdict = verdict
        self.retry_after_s = retry_after_s


class SettingsError(TurmericusherError):
    """A settings file is unusable; the message names the setting and its value."""

    def __init__(self, message: str) -> None:
        super().__init__(ErrorCode.INVALID_SETTINGS, message)


class RequestRefusedError(TurmericusherError):
    """A request was refused before any byte of it was sent to an upstream."""


class UpstreamError(TurmericusherError):
    """An upstream failed or rejected a request; see its verdict."""


class StoreError(TurmericusherError):
    """A call to the platform's key-value service failed."""


class StoreUnavailableError(StoreError):
    """The store did not accept the call, which has had no effect."""

    def __init__(self, message: str) -> None:
        super().__init__(ErrorCode.STORE_UNAVAILABLE, message)


class StoreOutcomeUnknownError(StoreError):
    """The reply to a store write was lost; the write may have taken effect."""

    def __init__(self, message: str) -> None:
        super().__init__(
            ErrorCode.STORE_OUTCOME_UNKNOWN, message, verdict=Verdict.MAY_HAVE_RUN
        )


class StoreHistoryLostError(StoreUnavailableError):
    """The store no longer holds the requested changes.

    Read the current state of all keys again before watching for changes.
    """


class StoreRestoredError(StoreHistoryLostError):
    """The store has come back from an older copy: its revisions mean something else."""


class LargeAnswerError(TurmericusherError):
    """An answer of the store is larger than it may be; the store does answer."""

    def __init__(self, message: str) -> None:
        super().__init__(ErrorCode.STORE_UNAVAILABLE, message)


class ConflictError(TurmericusherError):
    """A change was refused because a concurrent change took effect first."""
