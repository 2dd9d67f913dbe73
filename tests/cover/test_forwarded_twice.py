"""Test that a forwarded stream goes on only after the other instance has let it go."""

from __future__ import annotations

import asyncio
import itertools
from unittest import mock

from parameterized import parameterized
from testtools import TestCase

from benchmarks.soak.proxy import CutKind as LinkCut
from tests.common.asynchronous import run_async
from tests.common.cut_fixtures import CutKind, call, cut, cut_ports
from tests.common.linked_instances import FIRST, Links, running_linked_instances
from tests.common.relay_events import IDEMPOTENT, RESUMABLE
from tests.common.relay_fixtures import ACCESS_KEY, HOST, PATHS, SERVICE
from tests.common.waiting import wait_until
from turmericusher.decisions.relay_state import FORWARD_STALL_S
from turmericusher.peers import instance_services
from turmericusher.standins.working_upstream import find_overlaps

UPSTREAMS, EVENTS, EVENT_GAP_S = 6, 220, 0.03
STREAMS = 3
ROUTE = {"timeout_ms": 25_000, "target_latency_ms": 4_500, "target_gap_ms": 700}

PAUSE_LIMIT_S = 0.7
"""The pause that callers accept between two events, as in the route."""

RESUME_LIMIT_S = 2.0
"""The stated time within which output goes on after a loss."""

SILENCE_LIMIT_S = FORWARD_STALL_S + RESUME_LIMIT_S
"""The same if nothing but missing events shows the loss."""


def cut_all(links: Links) -> None:
    """Let nothing pass any more, in either direction."""
    for link in (*links.requests, *links.calls, *links.calls_back):
        link.cut(LinkCut.HANG)


def cut_requests(links: Links) -> None:
    """Let what is forwarded fall silent, while instances can ask each other."""
    for link in links.requests:
        link.cut(LinkCut.HANG)


def cut_one_way(links: Links) -> None:
    """Let nothing pass to the others, while these can ask the first instance."""
    for link in (*links.requests, *links.calls):
        link.cut(LinkCut.HANG)


def reset_near_ends(links: Links) -> None:
    """Reset what is forwarded at the first instance's end only."""
    links.reset_near_ends()


def reset_near_ends_and_cut(links: Links) -> None:
    """Reset it likewise while instances cannot ask each other."""
    links.reset_near_ends()
    for link in (*links.calls, *links.calls_back):
        link.cut(LinkCut.HANG)


def refuse(links: Links) -> None:
    """Have the other instances end, as far as the first one sees."""
    for link in (*links.requests, *links.calls):
        link.refuse()


def reset_connections(links: Links) -> None:
    """Reset what is forwarded at both ends."""
    for link in links.requests:
        link.reset_connections()


class NoService:
    """A service without any call."""

    def __init__(self, *arguments):
        """Take what the service would be made from."""

    def __mapping__(self):
        """Return the calls by their paths."""
        return {}


async def read_stream(simulation, request_id):
    """Return the ids of a stream's events and the longest pause between two."""
    node = simulation.instances[FIRST]
    url = f"http://{node.own.caller_address}{PATHS[RESUMABLE]}x"
    sent = {
        "Host": HOST,
        "Authorization": f"Bearer {ACCESS_KEY}",
        "X-Request-Id": request_id,
        "X-Deadline-Milliseconds": "25000",
    }
    clock, ids, times = asyncio.get_running_loop().time, [], []
    async with simulation.session.post(url, headers=sent, data=b"body") as response:
        async for line in response.content:
            if line.startswith(b"id: "):
                ids.append(int(line[4:]))
                times.append(clock())
    gaps = [after - before for before, after in itertools.pairwise(times)]
    return ids, max(gaps)


class ForwardedTwiceTest(TestCase):
    async def start_forwarded(self, simulation):
        """Return streams that the first instance forwards, and that go on now.

        It reaches the upstreams again since.
        """
        ports = cut_ports(simulation)
        cut(ports, [FIRST], CutKind.RESET)
        node = simulation.instances[FIRST]
        for number in range(4):
            await call(simulation, FIRST, IDEMPOTENT, f"warm-{number}")
        await wait_until(lambda: node.shared.reach.is_unreachable(SERVICE))
        streams = [
            asyncio.create_task(read_stream(simulation, f"q{number}"))
            for number in range(STREAMS)
        ]
        await wait_until(
            lambda: sum(len(each.active) for each in simulation.upstreams) == STREAMS
        )
        cut(ports, [FIRST], None)
        await wait_until(lambda: not node.shared.reach.is_unreachable(SERVICE))
        await asyncio.sleep(0.3)
        return streams

    async def check(self, trouble, longest_gap_s, runs_each):
        """Check that all streams come whole in time, by so many runs of each."""
        async with running_linked_instances(UPSTREAMS, EVENTS, EVENT_GAP_S, ROUTE) as (
            simulation,
            links,
        ):
            streams = await self.start_forwarded(simulation)
            trouble(links)
            answers = await asyncio.gather(*streams)
            now = asyncio.get_running_loop().time()
            self.assertEqual([], find_overlaps(simulation.upstreams, now))
            for ids, gap_s in answers:
                self.assertEqual(list(range(1, EVENTS + 1)), ids)
                self.assertLess(gap_s, longest_gap_s)
            runs = [run for each in simulation.upstreams for run in each.history]
            of_streams = [run for run in runs if run.request_id.startswith("q")]
            self.assertEqual(runs_each * STREAMS, len(of_streams))

    @parameterized.expand(
        [
            ("they_are_cut_off_from_each_other", cut_all, SILENCE_LIMIT_S),
            ("only_the_stream_is_silent", cut_requests, SILENCE_LIMIT_S),
            ("only_one_can_ask", cut_one_way, SILENCE_LIMIT_S),
            ("its_connection_is_reset_at_one_end", reset_near_ends, RESUME_LIMIT_S),
            (
                "it_is_reset_and_they_are_cut_off",
                reset_near_ends_and_cut,
                FORWARD_STALL_S,
            ),
            ("the_other_instance_ends", refuse, RESUME_LIMIT_S),
        ]
    )
    @run_async
    async def test_twice_a_forwarded_stream_goes_on_only_after_the_other_let_go_if(
        self, _, trouble, longest_gap_s
    ):
        await self.check(trouble, longest_gap_s, 2)

    @run_async
    async def test_a_forwarded_stream_that_is_confirmed_runs_once(self):
        await self.check(lambda links: None, PAUSE_LIMIT_S, 1)

    @run_async
    async def test_a_forwarded_stream_runs_on_beside_the_build_before(self):
        # It does not know the calls, and answers so.
        with mock.patch.object(instance_services, "HopsService", NoService):
            await self.check(lambda links: None, PAUSE_LIMIT_S, 1)

    @run_async
    async def test_a_forwarded_stream_whose_connection_ends_goes_on_beside_that(self):
        with mock.patch.object(instance_services, "HopsService", NoService):
            await self.check(reset_connections, RESUME_LIMIT_S, 2)
