"""Source mutations that violate one invariant each, to prove that its check fails."""

from __future__ import annotations

import shutil
from dataclasses import dataclass
from pathlib import Path

SOURCE_ROOT = Path(__file__).parents[2] / "src"


@dataclass(frozen=True, slots=True)
class Mutation:
    """A replacement of `old` by `new` in one file, and the check that must fail."""

    name: str
    check: str
    file: str
    old: str
    new: str


MUTATIONS = (
    Mutation(
        "broken-streams-look-whole",
        "right_answers",
        "api/relay.py",
        'return f"broken_off: {reason}"',
        'await self.write(b"", more=False)\n                return "broken_off"',
    ),
    Mutation(
        "another-team-name-is-passed-on",
        "passed_on_unchanged",
        "platform/upstreams.py",
        "headers.append((TEAM, routed.team))",
        'headers.append((TEAM, "another"))',
    ),
    Mutation(
        "everything-is-repeated",
        "at_most_once",
        "decisions/relay.py",
        "if has_run and not self.kind.may_repeat:",
        "if has_run and False:",
    ),
    Mutation(
        "every-failure-is-told-as-not-run",
        "true_refusals",
        "api/relay.py",
        "if failure.verdict is Verdict.NOT_RUN:",
        "if failure.verdict is not None:",
    ),
    Mutation(
        "the-first-configuration-stays",
        "newest_configuration",
        "decisions/routing.py",
        "if self.table is not None and table.version <= self.table.version:",
        "if self.table is not None:",
    ),
    Mutation(
        "leaving-upstreams-are-used",
        "nothing_to_leaving",
        "platform/records.py",
        'Lifecycle.LIVE if model.state == "ready" else Lifecycle.LEAVING',
        "Lifecycle.LIVE",
    ),
    Mutation(
        "answers-that-say-leaving-are-passed-over",
        "leaving_answers",
        "decisions/relay_state.py",
        "if not self.leaving.add((leaving_mark(upstream),), now):",
        "if upstream is not None:",
    ),
    Mutation(
        "a-stop-waits-for-no-request",
        "planned_stops_cut_nothing",
        "relay_serving.py",
        "timeout_at(stop.gives_up_at()):\n            await frontend.idle.wait()",
        "timeout_at(stop.gives_up_at()):\n            pass",
    ),
    Mutation(
        "deadlines-are-passed-over",
        "answered_in_time",
        "decisions/relay_state.py",
        "return min(self.request.deadline, by_route)",
        "return self.request.arrived_at + 60.0",
    ),
    Mutation(
        "repeats-cost-nothing",
        "bounded_repeats",
        "decisions/retrying/retries.py",
        "return self.allowance(now) - kept >= 1",
        "return True",
    ),
    Mutation(
        "a-named-limit-is-not-kept",
        "named_limits",
        "decisions/send_limits.py",
        "if self.wait_s(name, now) > 0.0",
        "if self.wait_s(name, now) > 1e12",
    ),
    Mutation(
        "a-stream-goes-on-at-any-version",
        "streams_keep_their_version",
        "decisions/relay.py",
        "self.version = attempt.upstream.version",
        "pass",
    ),
    Mutation(
        "asked-pauses-are-passed-over",
        "asked_pauses",
        "decisions/send_pauses.py",
        "return max(0.0, pause.until - now) if pause is not None else 0.0",
        "return 0.0",
    ),
    Mutation(
        "silent-ends-are-not-remembered",
        "crashing_calls_stop",
        "decisions/relay_state.py",
        "attempt.is_suspected = True",
        "attempt.is_suspected = True\n        if is_stall:\n            return",
    ),
    Mutation(
        "runs-that-were-left-go-on",
        "streams_run_at_one_engine",
        "decisions/relay_left_runs.py",
        "if not attempt.is_connected or attempt.is_forward:",
        "if attempt is not None:",
    ),
    Mutation(
        "crashes-are-not-remembered",
        "crashing_requests_stop",
        "decisions/crash_ledger.py",
        "if len(suspicions) < BLOCKING_DEATHS:",
        "if suspicions is not None:",
    ),
    Mutation(
        "work-goes-on-without-its-caller",
        "work_ends_with_callers",
        "api/relay.py",
        "        has_gone = True\n        body.cancel()",
        "        has_gone = True",
    ),
    Mutation(
        "nothing-is-forwarded",
        "cut_instances_serve",
        "decisions/relay_starting.py",
        "if self.request.hop is not None or is_refused:",
        "if is_refused is not None:",
    ),
    Mutation(
        "a-reload-stops-the-instance-from-taking-requests",
        "served_after_recovery",
        "platform/node.py",
        "instance.frontend.stop.limit_s = settings.stop_limit_s",
        "instance.frontend.stop.ask(0.0)",
    ),
    Mutation(
        "a-reload-ends-the-process",
        "no_unexpected_exit",
        "platform/node.py",
        "instance.retries = settings.retries",
        "raise SystemExit(3)",
    ),
)


def apply_mutation(mutation: Mutation, source: Path) -> None:
    """Apply a mutation to a copy of the source.

    Raises ValueError unless the file contains `old` exactly once.
    """
    path = source / "turmericusher" / mutation.file
    text = path.read_text()
    count = text.count(mutation.old)
    if count != 1:
        raise ValueError(
            f"mutation={mutation.name!r}: `old` occurs {count} times in "
            f"{mutation.file} instead of once; update the mutation"
        )
    path.write_text(text.replace(mutation.old, mutation.new))


def copy_mutated_source(name: str, folder: Path) -> Path:
    """Copy the source into a folder, apply the named mutation and return the copy."""
    mutation = next(one for one in MUTATIONS if one.name == name)
    source = folder / "src"
    ignore_caches = shutil.ignore_patterns("__pycache__")
    shutil.copytree(SOURCE_ROOT, source, ignore=ignore_caches)
    apply_mutation(mutation, source)
    return source
