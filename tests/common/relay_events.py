"""Events of relayed requests, and relays in various states, for tests."""

from dataclasses import replace

from tests.common.relay_fixtures import (
    make_relay_shared,
    make_route,
    make_test_relay,
)
from turmericusher.decisions.relay_messages import (
    AnswerArrived,
    AttemptFailed,
    CopyMemory,
    EventArrived,
    QueryLoads,
    RelayAnswer,
    StreamOpened,
    UpstreamReport,
)
from turmericusher.decisions.relay_state import (
    RUNNING_LIMIT_SHARE,
    RUNNING_PROBE_SHARE,
)
from turmericusher.decisions.routing import RequestKind
from turmericusher.errors import Verdict

IDEMPOTENT, NON_IDEMPOTENT = RequestKind.IDEMPOTENT, RequestKind.NON_IDEMPOTENT
RESUMABLE, STREAM = RequestKind.RESUMABLE_STREAM, RequestKind.STREAM
NOT_RUN, MAY_HAVE_RUN = Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN
LONGEST_GAP_S = make_route(RESUMABLE).longest_gap_s
RUNNING_PROBE_S = RUNNING_PROBE_SHARE * LONGEST_GAP_S
RUNNING_LIMIT_S = RUNNING_LIMIT_SHARE * LONGEST_GAP_S
ANSWER = RelayAnswer(200, (), b"whole")
FAILURE = RelayAnswer(500, (), b"no")


def failed(attempt, cause, verdict, at=0.1, answer=None):
    """Return the failure of an attempt."""
    return AttemptFailed(attempt, at, cause, verdict, "", answer)


def answered(attempt, at=0.1):
    """Return the complete answer to an attempt."""
    return AnswerArrived(attempt, at, ANSWER)


def event(attempt, number, at=0.1):
    """Return an event of a stream, whose body is its number and a semicolon."""
    return EventArrived(attempt, at, f"{number};".encode(), number)


def make_upstream_report(running=0, waiting=0, used=0, made=None, incarnation="1"):
    """Return the load report of an upstream."""
    return UpstreamReport(incarnation, running, waiting, used, 88_000, made or {})


def filter_by_type(actions, kind):
    """Return the actions of one type."""
    return [action for action in actions if isinstance(action, kind)]


def make_started_stream(shared, events=3, kind=RESUMABLE):
    """Return a stream that has delivered some events, and its first attempt's start."""
    relay = make_test_relay(kind, shared)
    (start_attempt,) = relay.start(0.0)
    relay.handle(StreamOpened(1, 0.05, (("seal", "first"),)), 0.05)
    for number in range(1, events + 1):
        relay.handle(event(1, number), 0.1)
    return relay, start_attempt


def make_stream_without_standby():
    """Return a stream whose standby has ended, its start and its command to copy."""
    shared = make_relay_shared()
    relay, start_attempt = make_started_stream(shared)
    traits = replace(relay.routed.service, moves_copies=True)
    relay.routed = replace(relay.routed, service=traits)
    others = shared.selector.upstreams.values()
    shared.selector.update([each for each in others if each != start_attempt.standby])
    (copy_command,) = filter_by_type(relay.handle(event(1, 4), 0.2), CopyMemory)
    return relay, start_attempt, copy_command


def make_relay_querying_loads(shared=None):
    """Return a stream that has queried the loads of upstreams, and its query.

    Its target latency is so long that no load is a reason to refuse it.
    """
    relay = make_test_relay(
        RESUMABLE,
        shared or make_relay_shared(),
        reports_load=True,
        target_latency_s=1e3,
    )
    (load_query,) = relay.start(0.0)
    assert isinstance(load_query, QueryLoads)
    return relay, load_query
