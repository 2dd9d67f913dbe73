"""Names of the HTTP headers that callers and entry instances exchange."""

TEAM_HEADER = "Turmericusher-Team"
PROFILE_HEADER = "Turmericusher-Profile"
ATTEMPT_HEADER = "Turmericusher-Attempt"
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
REPLAYED_HEADER = "Idempotent-Replayed"
FORWARDED_HEADER = "Turmericusher-Forwarded"
"""Set by an instance that forwards a request to another one: its name, the version of
the configuration by which it accepted the request, 1 if the request may have run, else
0, and the incarnation of the other instance, with semicolons between them."""

RESERVED_HEADER_PREFIX = "turmericusher-"
