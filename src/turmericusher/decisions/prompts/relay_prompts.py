"""What a relayed request does with the knowledge of held prompts.

Only routes with session affinity use it, for prompts with parts.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence
from typing import TYPE_CHECKING

from turmericusher.decisions.fleet import UpstreamInstance
from turmericusher.decisions.placing.free_capacity import ExpectedWait
from turmericusher.decisions.placing.selection import PickRequest
from turmericusher.decisions.prompts.completion import (
    MIN_FETCH_SAVING_S,
    Completion,
    PromptCost,
    estimate_completion,
    rank_by_completion,
)
from turmericusher.decisions.prompts.held_parts import Held, Parts
from turmericusher.decisions.relay_messages import UpstreamReport

if TYPE_CHECKING:
    from turmericusher.decisions.relay_state import RelayAttempt, RelayState

MIN_SAVING_S = 0.1
"""Seconds that a candidate must save for the order to differ from that by the wait:
less is within the error of the estimate. Prompts that share a few per cent are
therefore placed as without this knowledge."""

MAX_PROMPT_PARTS = 64
"""Parts beyond which a prompt is placed without regard to them, as each is looked up
for each upstream."""


def known_parts(relay: RelayState) -> Parts:
    """Return the parts of the prompt; none if the request does not use them."""
    request = relay.request
    if not relay.routed.route.session_affinity or not relay.kind.is_stream:
        return ()
    count = len(request.prompt_parts)
    if len(request.part_tokens) != count or count > MAX_PROMPT_PARTS:
        return ()
    return tuple(zip(request.prompt_parts, request.part_tokens, strict=True))


def prompt_cost(relay: RelayState) -> PromptCost:
    """Return what a token costs, by the prefills that were seen."""
    service = relay.routed.service
    typical = relay.shared.prefilled_sizes.get(service.name)
    tokens = typical.mean if typical and typical.mean else 0.0
    if not tokens:
        tokens = sum(size for _, size in known_parts(relay))
    return PromptCost(
        relay.prefill_time().mean_s / max(tokens, 1.0), service.fetch_token_s
    )


def best_holder(
    relay: RelayState, parts: Parts, among: Collection[UpstreamInstance], now: float
) -> tuple[UpstreamInstance, Held] | None:
    """Return the upstream that holds most of a prompt, None if none holds any."""
    held = relay.shared.held_parts
    found = [
        (each, held.held(each, parts, now))
        for each in among
        if each.name in held.upstreams
    ]
    best = max(found, key=lambda pair: pair[1].tokens, default=None)
    return best if best is not None and best[1].tokens > 0.0 else None


def with_holder(
    relay: RelayState,
    candidates: tuple[UpstreamInstance, ...],
    wanted: PickRequest,
    now: float,
) -> tuple[UpstreamInstance, ...]:
    """Replace the last candidate by the best holder, where that may save much."""
    parts = known_parts(relay)
    if not parts or len(candidates) < 2:
        return candidates
    cost_s = prompt_cost(relay).prefill_s
    shared_tokens = sum(size for _, size in parts[:-1])
    is_running = relay.shared.held_parts.has_run(parts[-1][0])
    if shared_tokens * cost_s < MIN_FETCH_SAVING_S and not is_running:
        return candidates
    selector = relay.shared.selector
    allowed = selector.keep_preferred(selector.candidates(wanted), wanted)
    best = best_holder(relay, parts, allowed, now)
    if best is None or best[0] in candidates:
        return candidates
    if best[1].tokens * cost_s < MIN_FETCH_SAVING_S:
        return candidates
    return (*candidates[:-1], best[0])


def rank_candidates(
    relay: RelayState,
    ranked: Sequence[str],
    waits: Mapping[str, ExpectedWait],
    reports: Mapping[str, UpstreamReport],
    late: Collection[str],
    now: float,
) -> list[str]:
    """Return the candidates, `ranked` by their wait, in order of completion.

    The estimates are kept for the attempt that is started. Only upstreams that are
    current and live are fetched from.
    """
    parts, shared = known_parts(relay), relay.shared
    if not parts:
        return list(ranked)
    upstreams = shared.selector.upstreams
    for name in ranked:
        known = shared.held_parts.of(upstreams[name])
        known.record_report(reports[name], shared.stream_duration.mean_s, now)
    total, cost = sum(size for _, size in parts), prompt_cost(relay)
    best = {
        version: best_holder(relay, parts, fetch_sources(relay, version, now), now)
        for version in {upstreams[name].version for name in ranked}
    }
    relay.completions = {
        name: estimate_completion(
            waits[name].first_event_s,
            reports[name].running,
            total,
            shared.held_parts.held(upstreams[name], parts, now),
            best[upstreams[name].version],
            cost,
        )
        for name in ranked
    }
    if all(each.saved_s < MIN_SAVING_S for each in relay.completions.values()):
        return list(ranked)
    by_completion = rank_by_completion(ranked, relay.completions, late)
    shared.totals.prefix_choices += by_completion[:1] != list(ranked[:1])
    return by_completion


def fetch_sources(
    relay: RelayState, version: str, now: float
) -> list[UpstreamInstance]:
    """Return the upstreams of a version that may be fetched from.

    They are of this instance's subset, to which its requests go, and have not failed
    lately, nor has their failure domain failed this request.
    """
    service, selector = relay.routed.service, relay.shared.selector
    if service.fetch_token_s is None:
        return []
    names = selector.subset_names.get(service.name, frozenset())
    failed = {*relay.excluded, *selector.ejections.recently_failed(names, now)}
    lost_domains = relay.recently_lost_domains(now)
    return [
        each
        for each in (selector.upstreams[name] for name in sorted(names - failed))
        if each.version == version
        and each.failure_domain not in lost_domains
        and relay.is_holder_current(each)
    ]


def take_completion(relay: RelayState, name: str) -> Completion | None:
    """Return the estimate for the upstream of an attempt that starts; drop others."""
    completion = relay.completions.get(name)
    relay.completions = {}
    return completion


def record_first_event(relay: RelayState, attempt: RelayAttempt, now: float) -> None:
    """Record that an attempt's prompt is in memory, and whether that was foreseen."""
    parts = known_parts(relay)
    if not parts or attempt.is_forward:
        return
    shared = relay.shared
    if not attempt.from_copy:
        run = run_name(relay, attempt)
        shared.held_parts.begin_run(attempt.upstream, run, parts, now)
    completion = attempt.completion
    if completion is None or attempt.first_event_at is None:
        return
    relay.foreseen = completion
    relay.foreseen_error_s = (
        attempt.first_event_at - attempt.started_at - completion.first_event_s
    )
    total = sum(size for _, size in parts)
    if total > shared.held_parts.of(attempt.upstream).memory_total:
        # Callers state the sizes: no engine can run one of this size.
        return
    typical = shared.prefilled_size(relay.routed.service.name)
    typical.record_size(max(1, round(total - completion.held_tokens)))


def record_end(relay: RelayState, attempt: RelayAttempt, now: float) -> None:
    """Record the end of an attempt, with which its own part is dropped."""
    relay.shared.held_parts.end_run(attempt.upstream, run_name(relay, attempt), now)


def run_name(relay: RelayState, attempt: RelayAttempt) -> str:
    """Return the name of an attempt among all that run at its upstream."""
    return f"{relay.request.request_id}/{attempt.number}"
