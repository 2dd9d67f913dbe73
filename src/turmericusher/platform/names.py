"""The platform's names of headers, store keys and paths, and the format of each."""

from __future__ import annotations

# Set by callers and forwarded.
REQUEST_ID = "x-request-id"
LAST_EVENT_ID = "last-event-id"

# Milliseconds that the caller will still wait: a duration, not a point in time.
REMAINING_MS = "x-deadline-milliseconds"

# "INPUT,MAX_OUTPUT": tokens of the prompt, and the most tokens to generate.
TOKEN_COUNTS = "x-token-counts"

# "ID:TOKENS,ID:TOKENS,...": the parts of the prompt in order, ids in hexadecimal. The
# last part belongs to the request or to its session; requests share the others.
PROMPT_PARTS = "x-prompt-prefix"

# The id of the caller's attempt that brought the first event of the stream that this
# request takes up again.
RESUMES = "resumes"

# Set by this system on requests to upstreams.
TARGET_UPSTREAM = "x-target-instance"
TEAM = "x-tenant-name"

# 0 is the most urgent; engines assume 5 where the header is missing.
URGENCY = "x-request-priority"

# The version of the weights that the upstream must have; another one answers 421. This
# system does not set it: it only knows versions of the software.
EXPECTED_VERSION = "x-expected-version"

# Address of the upstream that is to hold the standby copy of the KV cache.
STANDBY_ADDRESS = "x-cache-backup"

# "ADDRESS/HANDLE" of the KV cache copy to resume from: the upstream that made the copy,
# and the handle that it gave the copy.
COPY_SOURCE = "kv-from"

# Address of the upstream that holds more of the prompt, from which the engine is to
# fetch it.
FETCH_SOURCE = "kv-fetch"

SYSTEM_HEADERS = frozenset(
    {
        "authorization",
        TARGET_UPSTREAM,
        TEAM,
        STANDBY_ADDRESS,
        COPY_SOURCE,
        REMAINING_MS,
        LAST_EVENT_ID,
        FETCH_SOURCE,
        "x-cache-hold",
        "x-pin-milliseconds",
        URGENCY,
        EXPECTED_VERSION,
    }
)
"""Request headers that are never forwarded as the caller sent them."""

# Set by upstreams on their responses.
NOT_RUN_MARK = "x-not-executed"
SIGNATURE = "x-response-seal"

# "RUNNING,WAITING,SLOTS" or "RUNNING,WAITING,SLOTS,PACE": requests that run, requests
# that wait, slots, and how long work takes now, in hundredths of the usual time.
LOAD = "x-server-load"

# Requests per second that the upstream takes from all instances together.
SEND_LIMIT = "server-limit"

# Seconds for which an upstream that refuses a request wants no more from its sender.
PAUSE = "retry-after"

# "1" in all responses of an upstream that is leaving.
LEAVING = "server-leaving"

UPSTREAM_ONLY_HEADERS = frozenset({LOAD, NOT_RUN_MARK, "x-instance-id"})
"""Response headers that are meant for this system and never reach callers."""

# How often the store has come back from an older copy, in all its responses.
STORE_ERA = "store-era"

# Keys and key prefixes in the store.
OPERATOR_PREFIX = "op/"
CONFIGURATION_KEY = "op/config"
UPSTREAM_PREFIX = "servers/"
OWN_PREFIX = "turmericusher/"
INSTANCE_PREFIX = "turmericusher/instances/"
CRASH_PREFIX = "turmericusher/crashes/"
SOUND_PREFIX = "turmericusher/sound/"
TRIAL_PREFIX = "turmericusher/trials/"
STREAM_PREFIX = "turmericusher/streams/"
VERSIONS_PREFIX = "turmericusher/versions/"

# The order to move a service's traffic to a version, by service, and its status.
ROLLOUT_ORDER_PREFIX = "op/rollout/"
STATUS_PREFIX = "status/"
ROLLOUT_STATUS_PREFIX = "status/rollout/"

# The decision on a roll-out and the instance that decides, by service, and what each
# instance tells of roll-outs, by instance.
ROLLOUT_STATE_PREFIX = "turmericusher/rollouts/"
ROLLOUT_DECIDER_PREFIX = "turmericusher/rollout-deciders/"
ROLLOUT_REPORT_PREFIX = "turmericusher/rollout-reports/"

# Paths that this system serves.
READINESS_PATH = "/v1/readiness"
ENTRYPOINTS_PATH = "/v1/resolve"

# Path at which an engine reports its load.
REPORT_PATH = "/v1/report"

# Path at which an engine copies the KV cache of a running request to another engine.
COPY_PATH = "/v1/kv-move"

# Path that frees a copy; the copy's handle follows it.
RELEASE_PATH = "/v1/kv-handle"

SETTINGS_VARIABLE = "TURMERICUSHER_NODE_FILE"
