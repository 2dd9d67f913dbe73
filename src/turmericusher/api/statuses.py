"""HTTP statuses of the error codes."""

from __future__ import annotations

from turmericusher.errors import ErrorCode

STATUS_BY_CODE = {
    ErrorCode.INVALID_SETTINGS: 400,
    ErrorCode.INVALID_REQUEST: 400,
    ErrorCode.UNSUPPORTED_PARAMETER: 400,
    ErrorCode.REQUEST_TOO_LARGE: 413,
    ErrorCode.UNAUTHORIZED: 401,
    ErrorCode.UNKNOWN_PROFILE: 404,
    ErrorCode.UNKNOWN_MODEL: 404,
    ErrorCode.UNKNOWN_SERVICE: 404,
    ErrorCode.UNKNOWN_ROUTE: 404,
    ErrorCode.UNSUPPORTED_ROUTE: 501,
    ErrorCode.NO_CONFIGURATION: 503,
    ErrorCode.INVALID_KEY: 400,
    ErrorCode.KEY_EXPIRED: 409,
    ErrorCode.KEY_REUSED: 422,
    ErrorCode.REQUEST_IN_PROGRESS: 409,
    ErrorCode.OVERLOADED: 429,
    ErrorCode.WAIT_EXCEEDED: 503,
    ErrorCode.NO_UPSTREAM: 503,
    ErrorCode.UPSTREAM_FAILED: 502,
    ErrorCode.UPSTREAM_REJECTED: 400,
    ErrorCode.REQUEST_KILLS_UPSTREAMS: 422,
    ErrorCode.INSTANCE_STOPPING: 503,
    ErrorCode.INSTANCE_STALE: 503,
    ErrorCode.STORE_UNAVAILABLE: 503,
    ErrorCode.STORE_OUTCOME_UNKNOWN: 503,
    ErrorCode.REVISION_CONFLICT: 409,
    ErrorCode.PROFILE_RETIRED: 410,
    ErrorCode.ANSWER_INTERRUPTED: 503,
    ErrorCode.OUTCOME_TOO_LARGE: 409,
    ErrorCode.INTERNAL: 500,
}
"""HTTP status of each error code; codes that are missing here get 500."""
