"""Test the parts of the soak: its checks, its plans, its mutations and its proxy."""

import asyncio
import contextlib
import itertools
import math
import socket
import tempfile
from dataclasses import replace
from pathlib import Path

from parameterized import parameterized
from testtools import TestCase

from benchmarks.soak.checks import (
    CHECKS,
    DRAIN_S,
    LATE_CANCEL_ALLOWANCE,
    RECOVERY_S,
    run_checks,
)
from benchmarks.soak.deployment import APPLY_LIMIT_S, DRAIN_LIMIT_S, RETRY_SLACK
from benchmarks.soak.history import (
    STABILIZATION_S,
    Arrival,
    Cut,
    Disturbance,
    History,
    LeavingMark,
    LimitSpan,
    Probe,
    SentRequest,
    UnexpectedExit,
)
from benchmarks.soak.mutations import MUTATIONS, copy_mutated_source
from benchmarks.soak.proxy import CutKind, Proxy, running_proxy
from benchmarks.soak.schedule import make_plan
from benchmarks.soak.upstream import SoakUpstream
from tests.common.asynchronous import run_async
from tests.common.waiting import wait_until
from turmericusher.decisions.routing import RequestKind
from turmericusher.platform.names import COPY_PATH
from turmericusher.platform.records import encode_copy_request
from turmericusher.standins.platform_upstream import running_standin

ENTRY, UPSTREAM = "entry-0", "u0"
RESUMABLE = RequestKind.RESUMABLE_STREAM


def make_request(kind=RequestKind.IDEMPOTENT, sent_at=100.0, **changes):
    fields = {
        "request_id": "q1",
        "kind": kind,
        "instance": ENTRY,
        "path": "/x",
        "sent_at": sent_at,
        "deadline": sent_at + 2.0,
        "ended_at": sent_at + 1.0,
        "status": 200,
        "is_whole": True,
    }
    return SentRequest(**(fields | changes))


def make_arrival(at=100.1, **changes):
    fields = {
        "request_id": "q1",
        "upstream": UPSTREAM,
        "at": at,
        "has_run": True,
        "sender": ENTRY,
        "sent_at": at,
    }
    return Arrival(**(fields | changes))


def make_history(*requests, **changes):
    return History({one.request_id: one for one in requests}, **changes)


def repeated_arrivals(count):
    return [make_arrival(100.0 + number / 1000) for number in range(count + 1)]


def abandoned_requests(count, ended_after_s):
    requests, arrivals = [], []
    for number in range(count):
        name = f"q{number}"
        requests.append(make_request(request_id=name, is_whole=False, left_at=101.0))
        arrivals.append(make_arrival(request_id=name, ended_at=101.0 + ended_after_s))
    return make_history(*requests, arrivals=arrivals)


def limited_requests(count, disturbances=()):
    """Return requests to an upstream that has named a limit of 2 a second for 10 s."""
    requests, arrivals = [], []
    for number in range(count):
        name, at = f"q{number}", 100.0 + number / 100
        if number == 0:
            at = 92.0
        requests.append(make_request(request_id=name, sent_at=at))
        arrivals.append(make_arrival(at, request_id=name, ended_at=at + 0.05))
    return make_history(
        *requests,
        arrivals=arrivals,
        disturbances=list(disturbances),
        limits=[LimitSpan(UPSTREAM, 90.0, 2.0)],
    )


def crashing_requests(count, at=110.0, disturbances=()):
    """Return crashing requests that arrive after five crashes."""
    names = [f"q{number}" for number in range(count)]
    return make_history(
        *(make_request(RESUMABLE, request_id=name, is_crashing=True) for name in names),
        arrivals=[make_arrival(at, request_id=name) for name in names],
        crashes=[100.0, 101.0, 102.0, 103.0, 104.0],
        disturbances=list(disturbances),
    )


def crashing_calls(count, at=110.0, crashes=3):
    """Return crashing calls that arrive after some crashes under them."""
    history = crashing_requests(count, at)
    for request in history.requests.values():
        request.kind = RequestKind.IDEMPOTENT
    history.crashes, history.call_crashes = [], [100.0, 101.0, 102.0][:crashes]
    return history


def requests_in_a_pause(count, at=101.0, disturbances=(), asked_in_s=0.0, **changes):
    """Return requests that reach an upstream some time after it asked for a pause.

    It did so `asked_in_s` seconds after the connection was opened.
    """
    sent_at = 100.0 - asked_in_s
    asked = make_arrival(100.0, has_run=False, pause_s=2.0, sent_at=sent_at)
    later = [make_arrival(at, request_id=f"q{n}", **changes) for n in range(count)]
    return make_history(arrivals=[asked, *later], disturbances=list(disturbances))


def resumed_stream(first_version, version):
    """Return a stream that a second request goes on with."""
    return make_history(
        make_request(versions={first_version}),
        make_request(request_id="q2", resumes="q1", versions={version}),
    )


def runs_of_a_stream(both_s, disturbances=(), changes=None, later=None, **recorded):
    """Return a stream whose first run lasts for some time after a second one began."""
    first = {"ended_at": 101.0 + both_s} | (changes or {})
    second = {"request_id": "q2", "upstream": "u1", "ended_at": 102.0} | (later or {})
    return make_history(
        make_request(RESUMABLE),
        make_request(RESUMABLE, request_id="q2", resumes="q1"),
        arrivals=[make_arrival(**first), make_arrival(101.0, **second)],
        disturbances=list(disturbances),
        **recorded,
    )


def requests_after_leaving(after_s, disturbances=(), incarnation="1", told_at=100.9):
    """Return a request some seconds after an answer that its upstream leaves."""
    sent_at = 101.0 + after_s
    told = make_arrival(is_leaving=True, incarnation="1", ended_at=told_at)
    later = make_arrival(sent_at, request_id="q2", incarnation=incarnation)
    return make_history(
        make_request(),
        make_request(request_id="q2", sent_at=sent_at),
        arrivals=[told, later],
        disturbances=list(disturbances),
    )


def requests_in_a_cut(served, sent=24, disturbances=(), sent_at=105.0):
    """Return requests at an instance that is cut off, and as many served elsewhere."""
    requests = []
    for number in range(sent):
        is_whole, at = number < served, sent_at + number / 100
        requests += [
            make_request(
                request_id=f"q{number}",
                sent_at=at,
                status=200 if is_whole else 503,
                is_whole=is_whole,
            ),
            make_request(request_id=f"r{number}", sent_at=at, instance="entry-1"),
        ]
    cut = Cut(frozenset({ENTRY}), 100.0, 109.0)
    return make_history(*requests, cuts=[cut], disturbances=list(disturbances))


NON_IDEMPOTENT = RequestKind.NON_IDEMPOTENT
ACCEPTED = {1: 0.0, 2: 50.0}
LATE_PROBE_AT = 50.0 + APPLY_LIMIT_S + 0.1
STOP = Disturbance(ENTRY, "stop", 100.5, 104.0)
CUT_REQUEST = make_request(is_whole=False, status=None)
LEAVING_MARK = LeavingMark(UPSTREAM, 100.0 - DRAIN_LIMIT_S)
LEAVING = Disturbance(UPSTREAM, "leave", 100.0 - DRAIN_LIMIT_S, math.inf)

VIOLATIONS = {
    "right_answers": make_history(make_request(error="event 3 after 1")),
    "passed_on_unchanged": make_history(
        arrivals=[make_arrival(error="team='another'")]
    ),
    "at_most_once": make_history(
        make_request(NON_IDEMPOTENT), arrivals=[make_arrival(), make_arrival()]
    ),
    "true_refusals": make_history(
        make_request(NON_IDEMPOTENT, status=503), arrivals=[make_arrival()]
    ),
    "newest_configuration": make_history(
        accepted=ACCEPTED, probes=[Probe(ENTRY, 1, 2, LATE_PROBE_AT, False)]
    ),
    "nothing_to_leaving": make_history(
        make_request(),
        arrivals=[make_arrival()],
        leavings=[LEAVING_MARK],
        disturbances=[LEAVING],
    ),
    "leaving_answers": requests_after_leaving(DRAIN_S + 0.1),
    "planned_stops_cut_nothing": make_history(
        CUT_REQUEST, arrivals=[make_arrival()], disturbances=[STOP]
    ),
    "answered_in_time": make_history(make_request(ended_at=102.6)),
    "bounded_repeats": make_history(
        make_request(), arrivals=repeated_arrivals(int(RETRY_SLACK) + 2)
    ),
    "named_limits": limited_requests(19),
    "asked_pauses": requests_in_a_pause(3),
    "crashing_calls_stop": crashing_calls(4),
    "streams_keep_their_version": resumed_stream("v1", "v2"),
    "streams_run_at_one_engine": runs_of_a_stream(0.5),
    "crashing_requests_stop": crashing_requests(4),
    "work_ends_with_callers": abandoned_requests(LATE_CANCEL_ALLOWANCE + 1, 0.6),
    "cut_instances_serve": requests_in_a_cut(12),
    "served_after_recovery": make_history(
        make_request(status=503), faults_end_at=100.0 - RECOVERY_S
    ),
    "no_unexpected_exit": make_history(exits=[UnexpectedExit(ENTRY, 1.0, "status=1")]),
}

SAME_REQUEST = {"request_id": "q1"}
LOST = Disturbance(UPSTREAM, "upstream lose", 100.5, 100.5)
RUNS_AT_TWO_ENGINES = {
    "of one request": runs_of_a_stream(0.5, later=SAME_REQUEST),
    "of one request that two instances sent": runs_of_a_stream(
        0.5, later=SAME_REQUEST | {"sender": "entry-1"}
    ),
    "on a connection that was lost": runs_of_a_stream(0.5, [LOST]),
    "of which the first still goes on when the second ends": runs_of_a_stream(
        0.0, changes={"ended_at": None}
    ),
    "while the first one pauses": runs_of_a_stream(
        0.5, pauses=[Disturbance(UPSTREAM, "pause", 100.5, 102.0)]
    ),
    "while the instance has lost the store": runs_of_a_stream(
        0.5, [Disturbance(ENTRY, "store silence", 100.0, 102.0)]
    ),
    "after a cut": runs_of_a_stream(0.5, cuts=[Cut(frozenset({ENTRY}), 91.0, 100.0)]),
}

REVERTED_VERSION = make_history(
    accepted=ACCEPTED,
    probes=[Probe(ENTRY, 1, 2, 51.0, True), Probe(ENTRY, 1, 2, 51.1, False)],
)

ALLOWED = {
    "a stream that a stop met and that lasted until its deadline": make_history(
        make_request(is_whole=False, status=200, ended_at=102.01),
        arrivals=[make_arrival()],
        disturbances=[STOP],
    ),
    "a stream over two requests at one version": resumed_stream("v1", "v1"),
    "a run that ends soon after a later one began": runs_of_a_stream(0.35),
    "two runs at one engine": runs_of_a_stream(0.9, later={"upstream": UPSTREAM}),
    "runs for two requests of a caller that two instances sent": runs_of_a_stream(
        0.9, later={"sender": "entry-1"}
    ),
    "a run that was left before it began, in a pause": runs_of_a_stream(
        0.9, changes={"at": 101.6, "sent_at": 100.1}
    ),
    "a run at an engine whose link is held": runs_of_a_stream(
        0.9, [Disturbance(UPSTREAM, "upstream cut_up", 100.5, 101.5)]
    ),
    "a run at an engine whose link is slow": runs_of_a_stream(
        0.9, [Disturbance(UPSTREAM, "upstream delay", 100.5, 101.5)]
    ),
    "a run whose instance was killed": runs_of_a_stream(
        0.9, [Disturbance(ENTRY, "kill", 100.5, 103.0)]
    ),
    "a run whose instance is cut off": runs_of_a_stream(
        0.9, cuts=[Cut(frozenset({ENTRY}), 100.5, 109.0)]
    ),
    "a run at an engine that pauses for long": runs_of_a_stream(
        0.9, pauses=[Disturbance(UPSTREAM, "pause", 100.3, 101.9)]
    ),
    "requests after a limit was named on a connection that was lost": limited_requests(
        19, [Disturbance(UPSTREAM, "upstream lose", 92.02, 92.02, settle_s=0.0)]
    ),
    "requests after a pause was asked for on a connection that was lost": (
        requests_in_a_pause(
            3,
            disturbances=[
                Disturbance(UPSTREAM, "upstream reset_near", 99.2, 99.2, settle_s=0.0)
            ],
            asked_in_s=1.0,
        )
    ),
    "as many requests as a pause allows": requests_in_a_pause(2),
    "requests just after a pause was asked for": requests_in_a_pause(9, 100.4),
    "requests after a pause": requests_in_a_pause(9, 102.1),
    "requests in a pause that another incarnation did not ask for": (
        requests_in_a_pause(9, incarnation="2")
    ),
    "requests in a pause from another instance": (
        requests_in_a_pause(9, sender="entry-9")
    ),
    "requests in a pause of a restarted instance": requests_in_a_pause(
        9, disturbances=[Disturbance(ENTRY, "kill", 100.1, 100.5)]
    ),
    "requests after a pause asked for in answer to what a link had held back": (
        requests_in_a_pause(
            9, disturbances=[Disturbance(UPSTREAM, "upstream silence", 96.0, 99.99)]
        )
    ),
    "as many crashing calls as trials need": crashing_calls(3),
    "crashing calls soon after the third crash": crashing_calls(9, at=105.0),
    "crashing calls after two crashes": crashing_calls(9, crashes=2),
    "as many crashing requests as trials need": crashing_requests(3),
    "crashing requests soon after the fifth crash": crashing_requests(9, at=107.0),
    "crashing requests of a restarted instance": crashing_requests(
        9, disturbances=[Disturbance(ENTRY, "kill", 105.0, 109.0)]
    ),
    "as many requests as a named limit allows": limited_requests(18),
    "requests beyond a named limit from a restarted instance": limited_requests(
        40, [Disturbance(ENTRY, "kill", 95.0, 99.0)]
    ),
    "complete answers": make_history(make_request(), arrivals=[make_arrival()]),
    "a repeat of a repeatable call": make_history(
        make_request(), arrivals=[make_arrival(), make_arrival()]
    ),
    "a refusal of what did not run": make_history(
        make_request(NON_IDEMPOTENT, status=503), arrivals=[make_arrival(has_run=False)]
    ),
    "a failure of what ran": make_history(
        make_request(NON_IDEMPOTENT, status=502), arrivals=[make_arrival()]
    ),
    "a change within its bound": make_history(
        accepted=ACCEPTED, probes=[Probe(ENTRY, 1, 2, LATE_PROBE_AT - 0.2, False)]
    ),
    "a change while the store was unavailable": make_history(
        accepted=ACCEPTED,
        probes=[Probe(ENTRY, 1, 2, LATE_PROBE_AT, False)],
        disturbances=[Disturbance("store", "down", 49.0, 51.0)],
    ),
    "an older version in another incarnation": make_history(
        accepted=ACCEPTED,
        probes=[Probe(ENTRY, 1, 2, 51.0, True), Probe(ENTRY, 2, 2, 51.1, False)],
    ),
    "an upstream that is back": make_history(
        make_request(),
        arrivals=[make_arrival()],
        leavings=[LEAVING_MARK],
        disturbances=[Disturbance(UPSTREAM, "leave", LEAVING_MARK.at, 100.0)],
    ),
    "a request soon after an answer of an upstream that leaves": (
        requests_after_leaving(DRAIN_S - 0.1)
    ),
    "a request after an answer that came too late for its caller": (
        requests_after_leaving(DRAIN_S + 0.1, told_at=101.1)
    ),
    "a request after an answer that a faulty link may have held back": (
        requests_after_leaving(
            DRAIN_S + 0.1, [Disturbance(UPSTREAM, "upstream cut_down", 100.0, 101.5)]
        )
    ),
    "a request to the next incarnation of one that left": requests_after_leaving(
        DRAIN_S + 0.1, incarnation="2"
    ),
    "a request to an upstream that leaves, of a restarted instance": (
        requests_after_leaving(DRAIN_S + 0.1, [Disturbance(ENTRY, "kill", 101.5, 102)])
    ),
    "most requests at a cut instance served": requests_in_a_cut(16),
    "few requests at a cut instance": requests_in_a_cut(0, sent=10),
    "requests at a cut instance while an upstream names a limit": replace(
        requests_in_a_cut(0), limits=[LimitSpan(UPSTREAM, 100.0, 2.0, 107.0)]
    ),
    "requests soon after a cut began": requests_in_a_cut(0, sent_at=101.0),
    "requests at a cut instance that was restarted": requests_in_a_cut(
        0, disturbances=[Disturbance(ENTRY, "kill", 103.0, 104.0)]
    ),
    "a stop of an instance that is cut off": make_history(
        CUT_REQUEST,
        arrivals=[make_arrival()],
        disturbances=[STOP],
        cuts=[Cut(frozenset({ENTRY}), 99.0, 108.0)],
    ),
    "a stop beside another fault": make_history(
        CUT_REQUEST,
        arrivals=[make_arrival()],
        disturbances=[STOP, Disturbance(ENTRY, "pause", 100.6, 100.7)],
    ),
    "a request that a stopping instance did not pass on": make_history(
        CUT_REQUEST, disturbances=[STOP]
    ),
    "a late answer of a paused instance": make_history(
        make_request(ended_at=102.6),
        disturbances=[Disturbance(ENTRY, "pause", 100.0, 102.5)],
    ),
    "repeats within the budget": make_history(
        make_request(), arrivals=repeated_arrivals(int(RETRY_SLACK))
    ),
    "work that ended with its caller": abandoned_requests(
        LATE_CANCEL_ALLOWANCE + 1, 0.4
    ),
    "a refusal of a request that was repeated and served": make_history(
        make_request(status=503, comes_back=True),
        make_request(request_id="q2"),
        faults_end_at=100.0 - RECOVERY_S,
    ),
    "a refusal before the recovery": make_history(
        make_request(status=503), faults_end_at=99.0
    ),
}


class CheckTest(TestCase):
    def test_every_check_has_a_case_and_a_mutation(self):
        names = {check.__name__ for check in CHECKS}
        self.assertEqual(names, set(VIOLATIONS))
        self.assertEqual(names, {mutation.check for mutation in MUTATIONS})

    @parameterized.expand(VIOLATIONS.items())
    def test_a_violation_is_found_by(self, name, recorded):
        self.assertEqual({name}, {finding.check for finding in run_checks(recorded)})

    @parameterized.expand(RUNS_AT_TWO_ENGINES.items())
    def test_runs_at_two_engines_are_found(self, _, recorded):
        found = {finding.check for finding in run_checks(recorded)}
        self.assertEqual({"streams_run_at_one_engine"}, found)

    def test_a_second_refusal_after_the_recovery_is_found(self):
        recorded = make_history(
            make_request(status=503, comes_back=True),
            make_request(status=503, request_id="q2"),
            faults_end_at=100.0 - RECOVERY_S,
        )
        (found,) = run_checks(recorded)
        self.assertIn("q2", found.message)

    def test_a_version_that_decreases_is_found(self):
        found = [finding.check for finding in run_checks(REVERTED_VERSION)]
        self.assertEqual(["newest_configuration"], found)

    @parameterized.expand(ALLOWED.items())
    def test_no_violation_is_found_in(self, _, recorded):
        self.assertEqual([], run_checks(recorded))

    @parameterized.expand(
        [
            ("before", 9.9, False),
            ("during", 10.5, True),
            ("just after", 11.0 + STABILIZATION_S, True),
            ("after", 11.1 + STABILIZATION_S, False),
        ]
    )
    def test_a_process_counts_as_disturbed_until_some_time_after_a_fault(
        self, _, at, expected
    ):
        recorded = make_history(disturbances=[Disturbance(ENTRY, "pause", 10.0, 11.0)])
        self.assertEqual(expected, recorded.was_disturbed(ENTRY, at, at))


class MutationTest(TestCase):
    @parameterized.expand([(mutation.name, mutation) for mutation in MUTATIONS])
    def test_a_mutation_yields_source_that_compiles(self, _, mutation):
        with tempfile.TemporaryDirectory() as folder:
            source = copy_mutated_source(mutation.name, Path(folder))
            path = source / "turmericusher" / mutation.file
            compile(path.read_text(), str(path), "exec")


class PlanTest(TestCase):
    def test_the_same_seed_draws_the_same_faults(self):
        self.assertEqual(make_plan(7, 20.0), make_plan(7, 20.0))
        self.assertNotEqual(make_plan(7, 20.0).steps, make_plan(8, 20.0).steps)

    def test_faults_overlap_and_end_with_the_run(self):
        steps = [step for seed in range(20) for step in make_plan(seed, 20.0).steps]
        self.assertTrue(all(step.at_s + step.duration_s <= 20.0 for step in steps))
        pairs = itertools.pairwise(steps)
        overlaps = sum(a.at_s <= b.at_s < a.at_s + a.duration_s for a, b in pairs)
        self.assertGreater(overlaps, len(steps) // 4)


async def echo(reader, writer):
    while data := await reader.read(100):
        writer.write(data)
    writer.close()


async def call(address, path, body=b"", **headers):
    """Send a call on a connection of its own and return its streams."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    lines = [f"POST {path} HTTP/1.1", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {text}" for name, text in headers.items()]
    writer.write("\r\n".join([*lines, "\r\n"]).encode() + body)
    return reader, writer


class UpstreamTest(TestCase):
    @run_async
    async def test_a_run_on_a_lost_connection_goes_on_until_a_last_copy_stops_it(self):
        upstream = SoakUpstream("u0")
        upstream.restart(1)
        async with running_standin(upstream), running_proxy(upstream.address) as proxy:
            _, writer = await call(proxy.address, "/resumable/x", X_Request_Id="q1")
            await wait_until(lambda: "q1" in upstream.active)
            proxy.reset_near_ends()
            await asyncio.sleep(0.2)
            self.assertIn("q1", upstream.active)
            for status in (b"503", b"404"):
                order = encode_copy_request("q1", "127.0.0.1:1", is_last=True)
                reader, _ = await call(upstream.address, COPY_PATH, order)
                self.assertEqual(status, (await reader.read(12))[-3:])
                self.assertEqual({}, upstream.active)
            (arrival,) = upstream.recorded.arrivals
            await wait_until(lambda: arrival.ended_at is not None)
            writer.close()

    @run_async
    async def test_an_upstream_accepts_connections_in_a_pause_and_notices_nothing(self):
        upstream = SoakUpstream("u0")
        upstream.restart(1)
        async with running_standin(upstream):
            _, writer = await call(upstream.address, "/resumable/x", X_Request_Id="q1")
            await wait_until(lambda: "q1" in upstream.active)
            upstream.is_unpaused.clear()
            writer.close()
            _, other = await call(upstream.address, "/resumable/x", X_Request_Id="q2")
            await asyncio.sleep(0.2)
            self.assertEqual({"q1"}, set(upstream.active))
            upstream.is_unpaused.set()
            await wait_until(lambda: "q1" not in upstream.active)
            other.close()
        first, second = upstream.recorded.arrivals
        self.assertGreater(first.ended_at, first.at + 0.2)
        self.assertGreater(second.at, second.sent_at + 0.15)


class ProxyTest(TestCase):
    async def connect(self, stack_proxy):
        host, _, port = stack_proxy.address.rpartition(":")
        return await asyncio.open_connection(host, int(port))

    @run_async
    async def test_a_proxy_holds_back_resets_and_refuses_connections(self):
        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        target = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        async with running_proxy(target) as proxy:
            reader, writer = await self.connect(proxy)
            for directions in ((proxy.up,), (proxy.down,), (proxy.up, proxy.down)):
                proxy.block(*directions)
                writer.write(b"x")
                with self.assertRaises(TimeoutError):
                    await asyncio.wait_for(reader.read(1), 0.05)
                proxy.restore()
                self.assertEqual(b"x", await asyncio.wait_for(reader.read(1), 2.0))
            proxy.reset_connections()
            with self.assertRaises(ConnectionResetError):
                await asyncio.wait_for(reader.read(1), 2.0)
            proxy.refuse()
            with self.assertRaises(ConnectionRefusedError):
                await self.connect(proxy)
            await proxy.listen()
            reader, writer = await self.connect(proxy)
            writer.write(b"y")
            self.assertEqual(b"y", await asyncio.wait_for(reader.read(1), 2.0))
        server.close()

    @run_async
    async def test_a_link_comes_back_although_its_port_is_in_use_on_another_host(self):
        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        target = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        async with running_proxy(target) as proxy:
            proxy.refuse()
            with socket.socket() as other:
                other.bind(("127.0.0.1", int(proxy.address.rpartition(":")[2])))
                await proxy.listen()
                reader, writer = await self.connect(proxy)
                writer.write(b"x")
                self.assertEqual(b"x", await asyncio.wait_for(reader.read(1), 2.0))
        server.close()

    @run_async
    async def test_a_connection_that_is_opened_while_the_target_ends_gets_nothing(self):
        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        target = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        async with running_proxy(target) as proxy:
            for _ in range(20):
                reader, writer = await self.connect(proxy)
                proxy.refuse()
                writer.write(b"z")
                with contextlib.suppress(ConnectionError):
                    self.assertEqual(b"", await asyncio.wait_for(reader.read(1), 2.0))
                await proxy.listen()
        server.close()

    @parameterized.expand(
        [
            (CutKind.HANG.value, CutKind.HANG, TimeoutError, False),
            (CutKind.RESET.value, CutKind.RESET, ConnectionError, False),
            (CutKind.NEW_ONLY.value, CutKind.NEW_ONLY, ConnectionError, True),
        ]
    )
    @run_async
    async def test_connections_over_a_cut_link_fail_until_it_ends(
        self, _, kind, error, lives_on
    ):
        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        target = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        async with running_proxy(target) as proxy:
            reader, writer = await self.connect(proxy)
            await self.exchange(reader, writer)
            proxy.cut(kind)
            with self.assertRaises(error):
                await asyncio.wait_for(self.connect(proxy), 0.3)
            if lives_on:
                await self.exchange(reader, writer)
            else:
                with self.assertRaises((TimeoutError, ConnectionError)):
                    await asyncio.wait_for(self.exchange(reader, writer), 0.1)
            await proxy.end_cut()
            await self.exchange(*await self.connect(proxy))
        server.close()

    @parameterized.expand(
        [
            ("silenced", Proxy.silence_open_connections, TimeoutError),
            ("reset_at_the_near_end", Proxy.reset_near_ends, ConnectionError),
        ]
    )
    @run_async
    async def test_a_target_does_not_notice_that_open_connections_are(
        self, _, lose, error
    ):
        closed = []

        async def serve(reader, writer):
            await echo(reader, writer)
            closed.append(writer)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        target = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        async with running_proxy(target) as proxy:
            reader, writer = await self.connect(proxy)
            await self.exchange(reader, writer)
            lose(proxy)
            with self.assertRaises(error):
                await asyncio.wait_for(self.exchange(reader, writer), 0.1)
            writer.transport.abort()
            new_connection = await self.connect(proxy)
            await self.exchange(*new_connection)
            await asyncio.sleep(0.1)
            self.assertEqual([], closed)
        server.close()

    async def exchange(self, reader, writer):
        """Send a byte and read it back; fail if the connection was closed."""
        writer.write(b"x")
        await writer.drain()
        if await reader.read(1) != b"x":
            raise ConnectionError("closed")
