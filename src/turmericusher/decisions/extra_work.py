"""Budgets for the work that surviving failures costs an instance."""

from __future__ import annotations

from dataclasses import dataclass

from turmericusher.profiles import Profile

BURST_TOKENS = 64.0
SECOND_ATTEMPT_TOKENS = 8.0
CREDIT_LIMIT_TOKENS = 4096.0
RESUMES_AT_ONCE = 64


@dataclass(slots=True)
class ExtraWorkBudget:
    """Bounds second attempts on suspicion by a share of the tokens delivered.

    `credit` is in tokens. It starts with a small burst, so that the first stall after
    a start can be answered, and is bounded, so that quiet hours save up no storm.
    """

    credit: float = BURST_TOKENS

    def earn(self, tokens: int, profile: Profile) -> None:
        """Add the share of delivered tokens that a profile grants."""
        earned = tokens * profile.extra_work_percent / 100
        self.credit = min(self.credit + earned, CREDIT_LIMIT_TOKENS)

    def allows_second_attempt(self) -> bool:
        """Whether one more second attempt fits the budget."""
        return self.credit >= SECOND_ATTEMPT_TOKENS

    def spend(self, tokens: float) -> None:
        """Take off tokens that were computed and not delivered."""
        self.credit -= tokens


@dataclass(slots=True)
class ResumeGate:
    """Bounds the resumes that wait for their first token at one time.

    When a failure domain dies, everything that ran there resumes at once; the engines
    left would all compute prompts and bring no tokens.
    """

    limit: int = RESUMES_AT_ONCE
    waiting: int = 0

    def is_open(self) -> bool:
        """Whether one more resume may start."""
        return self.waiting < self.limit

    def enter(self) -> None:
        """Count a resume that starts."""
        self.waiting += 1

    def leave(self) -> None:
        """Count a resume that brought its first token or ended."""
        self.waiting -= 1
