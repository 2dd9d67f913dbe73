"""When a request has its first event at a candidate, by what that one holds of it.

There is no rule that a cache goes first: what is saved is weighed against the wait.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass

from turmericusher.decisions.fleet import UpstreamInstance
from turmericusher.decisions.prompts.held_parts import Held

DELAY_WEIGHT = 0.1
"""Weight of the time for which a prefill slows each request that runs at the candidate,
against the time until the own first event: steps take some 30 ms in place of 7 ms while
a prompt is prefilled, and few streams are late for it. In benchmarks.prefix_model,
weights from 0 to 0.3 differ by up to 0.02 in the share of streams in time."""

MIN_FETCH_SAVING_S = 0.1
"""Seconds that fetching must save: each fetch is priced, and waits for the others."""


@dataclass(frozen=True, slots=True)
class PromptCost:
    """What a token of a prompt costs, in seconds.

    `fetch_s` is that of a token from another upstream, None if that is not possible.
    """

    prefill_s: float
    fetch_s: float | None = None


@dataclass(frozen=True, slots=True)
class Completion:
    """The estimate for one candidate; times are seconds from now.

    `wait_s` is the time until its first event if it holds nothing, `first_event_s` the
    one with what it holds or fetches, and `cost_s` adds what the prefill costs others.
    `held_tokens` and `held_age_s` are the knowledge behind it. `fetch_from` is the
    upstream from which the rest is fetched, if that is quicker.
    """

    wait_s: float
    first_event_s: float
    cost_s: float
    held_tokens: float
    held_age_s: float
    fetch_from: UpstreamInstance | None = None

    @property
    def saved_s(self) -> float:
        """The seconds that the prompt's held beginning saves."""
        return self.wait_s - self.first_event_s


def estimate_completion(
    wait_s: float,
    running: int,
    prompt_tokens: int,
    held: Held,
    best: tuple[UpstreamInstance, Held] | None,
    cost: PromptCost,
) -> Completion:
    """Return the estimate for a candidate where `running` requests run.

    `wait_s` is the wait with a whole prefill there. `best` is the other upstream that
    holds most of the prompt, None if none holds any.
    """
    source, tokens, fetched_s = None, held.tokens, 0.0
    if best is not None and cost.fetch_s is not None:
        more = best[1].tokens - held.tokens
        if more * (cost.prefill_s - cost.fetch_s) >= MIN_FETCH_SAVING_S:
            source, tokens = best[0], best[1].tokens
            fetched_s = more * cost.fetch_s
    prefill_s = max(0.0, prompt_tokens - tokens) * cost.prefill_s
    saved_s = min(tokens, prompt_tokens) * cost.prefill_s - fetched_s
    first_event_s = max(0.0, wait_s - saved_s)
    return Completion(
        wait_s,
        first_event_s,
        first_event_s + DELAY_WEIGHT * running * prefill_s,
        tokens,
        best[1].age_s if source is not None and best is not None else held.age_s,
        source,
    )


def rank_by_completion(
    ranked: Sequence[str],
    completions: Mapping[str, Completion],
    late: Collection[str],
) -> list[str]:
    """Return the candidates in order of cost, after `ranked` by the wait alone.

    Those that are `late` by their wait alone keep their order and come last, so that a
    held prompt neither causes a refusal nor prevents one.
    """

    def sort_key(name: str) -> tuple[bool, float]:
        if name in late or name not in completions:
            return True, 0.0
        return False, completions[name].cost_s

    return sorted(ranked, key=sort_key)
