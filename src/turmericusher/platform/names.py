"""The platform's names for headers, keys and calls, with what each of them holds."""

from __future__ import annotations

# Set by callers and passed on.
REQUEST_ID = "x-request-id"
LAST_EVENT_ID = "last-event-id"

# The time that the caller will still wait, not a point in time.
WAIT_MS = "x-deadline-milliseconds"

# "tokens in,most tokens out" of the prompt.
TOKEN_COUNTS = "x-token-counts"

# Set by this system on the way to an upstream.
TARGET_UPSTREAM = "x-target-instance"
TEAM = "x-tenant-name"

# 0 is the most urgent; engines take 5 where it is absent.
URGENCY = "x-request-priority"

# The address of the upstream that is to hold the standby copy.
STANDBY_ADDRESS = "x-cache-backup"

# "address/handle" of a copy to go on from: where and by what name it was made.
COPY_SOURCE = "kv-from"

SYSTEM_HEADERS = frozenset(
    {
        "authorization",
        TARGET_UPSTREAM,
        TEAM,
        STANDBY_ADDRESS,
        COPY_SOURCE,
        WAIT_MS,
        LAST_EVENT_ID,
        "kv-fetch",
        "x-cache-hold",
        "x-pin-milliseconds",
        URGENCY,
        "x-expected-version",
    }
)
"""Request headers that are never passed on as the caller sent them."""

# Set by upstreams on their answers.
NOT_RUN_MARK = "x-not-executed"
SIGNATURE = "x-response-seal"

# "running,waiting,slots"
LOAD = "x-server-load"

UPSTREAM_ONLY_HEADERS = frozenset({LOAD, NOT_RUN_MARK, "x-instance-id"})
"""Answer headers that are meant for this system."""

# Keys of the store.
CONFIGURATION_KEY = "op/config"
UPSTREAM_PREFIX = "servers/"
INSTANCE_PREFIX = "turmericusher/instances/"

# Calls that this system answers.
READINESS_PATH = "/v1/readiness"
ENTRYPOINTS_PATH = "/v1/resolve"

# The call by which an engine tells its load.
REPORT_PATH = "/v1/report"

# The call by which an engine copies the memory of a request that it runs.
COPY_PATH = "/v1/kv-move"

# The call that frees a copy, with its handle behind it.
RELEASE_PATH = "/v1/kv-handle"

SETTINGS_VARIABLE = "TURMERICUSHER_NODE_FILE"
