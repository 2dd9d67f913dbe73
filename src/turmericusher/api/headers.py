"""Names of the HTTP headers that callers and entry instances exchange."""

TEAM_HEADER = "Turmericusher-Team"
PROFILE_HEADER = "Turmericusher-Profile"
ATTEMPT_HEADER = "Turmericusher-Attempt"
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
REPLAYED_HEADER = "Idempotent-Replayed"
RESERVED_HEADER_PREFIX = "turmericusher-"
