"""The names of the HTTP headers that callers and this system use."""

TEAM_HEADER = "Turmericusher-Team"
PROFILE_HEADER = "Turmericusher-Profile"
ATTEMPT_HEADER = "Turmericusher-Attempt"
KEY_HEADER = "Idempotency-Key"
REPLAYED_HEADER = "Idempotent-Replayed"
OWN_HEADERS_PREFIX = "turmericusher-"
