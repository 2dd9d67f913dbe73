"""Limits on the extra work that recovery from failures causes on one instance."""

from __future__ import annotations

from dataclasses import dataclass

from turmericusher.profiles import Profile

BURST_TOKENS = 64.0
"""Credit at the start, in tokens: enough for the first second attempts."""

SECOND_ATTEMPT_TOKENS = 8.0
"""Tokens charged in advance for each second attempt."""

CREDIT_LIMIT_TOKENS = 4096.0
"""Maximum credit in tokens, which bounds the burst after a quiet period."""

MAX_CONCURRENT_RESUMES = 64
"""Resumes of one instance that may wait for their first token at the same time."""


@dataclass(slots=True)
class ExtraWorkBudget:
    """Limits second attempts for stalls to a share of the tokens delivered.

    `credit` is in tokens. It starts with a small burst, so that the first stall after
    a start can get a second attempt. It is capped, so that a quiet period does not
    save up credit for a burst of second attempts.
    """

    credit: float = BURST_TOKENS

    def earn(self, tokens: int, profile: Profile) -> None:
        """Add the profile's percentage of the delivered tokens to the credit."""
        earned = tokens * profile.extra_work_percent / 100
        self.credit = min(self.credit + earned, CREDIT_LIMIT_TOKENS)

    def can_start_second_attempt(self) -> bool:
        """Whether the credit covers one more second attempt."""
        return self.credit >= SECOND_ATTEMPT_TOKENS

    def spend(self, tokens: float) -> None:
        """Deduct tokens that were computed but not delivered."""
        self.credit -= tokens


@dataclass(slots=True)
class ResumeLimiter:
    """Limits the resumes that wait for their first token at the same time.

    When a failure domain dies, every stream that ran there resumes at once. Without a
    limit, the remaining engines would all be busy with prefills and emit no tokens.
    """

    limit: int = MAX_CONCURRENT_RESUMES
    waiting: int = 0

    def has_free_slot(self) -> bool:
        """Whether one more resume may start."""
        return self.waiting < self.limit

    def acquire(self) -> None:
        """Take a slot for a resume that starts."""
        self.waiting += 1

    def free(self) -> None:
        """Free the slot of a resume that got its first token or ended."""
        self.waiting -= 1
