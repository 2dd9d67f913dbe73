"""Test that the earlier run of a stream ends when its caller takes the stream up."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace

import aiohttp
from parameterized import parameterized
from testtools import TestCase

from tests.common.asynchronous import run_async
from tests.common.relay_events import RESUMABLE, STREAM
from tests.common.relay_fixtures import (
    ACCESS_KEY,
    HOST,
    PATHS,
    configuration,
    make_relay_shared,
    make_test_relay,
)
from tests.common.version_fixtures import (
    VersionSimulation,
    running_version_simulation,
)
from tests.common.waiting import wait_until
from turmericusher.decisions.forwarding import Hop
from turmericusher.decisions.routing import RequestKind
from turmericusher.decisions.take_ups import TakeUp, find_take_up
from turmericusher.platform.names import CONFIGURATION_KEY
from turmericusher.standins.working_upstream import (
    HANDOVER_LIMIT_S,
    Run,
    WorkingUpstream,
    find_overlaps,
)

EVENTS, EVENT_GAP_S = 80, 0.03
TAKEN_UP_AFTER = 5
STREAMS = 6
ONE_VERSION = ("v1",) * 6
OTHER_KEY = "key-of-another-team"
TEAMS = [
    {"name": "team-1", "access_keys": [ACCESS_KEY]},
    {"name": "team-2", "access_keys": [OTHER_KEY]},
]
FIRST = TakeUp("q1", "q1-again", "team", TAKEN_UP_AFTER, 5.0)


@asynccontextmanager
async def running_simulation(
    versions: tuple[str, ...] = ONE_VERSION, instances: int = 3, padding: int = 0
) -> AsyncIterator[VersionSimulation]:
    """Run instances before engines that work whether or not connections last."""
    async with running_version_simulation(
        versions,
        instances=instances,
        make_standin=WorkingUpstream,
        events=EVENTS,
        event_gap_s=EVENT_GAP_S,
        event_padding=padding,
    ) as simulation:
        yield simulation


@asynccontextmanager
async def forgotten_stream(
    simulation: VersionSimulation, instance: str, request_id: str, **headers: str
) -> AsyncIterator[aiohttp.ClientResponse]:
    """Read some events of a stream, and leave its connection open and unread.

    To the instance this looks as if the connection had died silently.
    """
    node = simulation.instances[instance]
    url = f"http://{node.own.caller_address}{PATHS[RequestKind.RESUMABLE_STREAM]}x"
    sent = {
        "Host": HOST,
        "Authorization": f"Bearer {ACCESS_KEY}",
        "X-Request-Id": request_id,
        "X-Deadline-Milliseconds": "4000",
    }
    sent |= {name.replace("_", "-"): value for name, value in headers.items()}
    last = int(headers.get("Last_Event_Id", "0")) + TAKEN_UP_AFTER
    async with simulation.session.post(url, headers=sent, data=b"body") as response:
        async for line in response.content:
            if line.strip() == f"id: {last}".encode():
                break
        else:
            raise AssertionError(f"request={request_id!r} got {response.status}")
        try:
            yield response
        finally:
            response.close()


def find_run(simulation: VersionSimulation, request_id: str) -> Run:
    """Return the only run of a request."""
    (run,) = (
        run
        for upstream in simulation.upstreams
        for run in upstream.history
        if run.request_id == request_id
    )
    return run


async def take_up(
    simulation: VersionSimulation, before: str, after: str, number: int
) -> list[int]:
    """Take a stream up whose connection has died; return the events that come then."""
    request_id = f"q{number}"
    async with forgotten_stream(simulation, before, request_id):
        _, events = await simulation.stream(
            after,
            f"{request_id}-again",
            EVENTS,
            Last_Event_Id=str(TAKEN_UP_AFTER),
            Resumes=request_id,
        )
        return events


class TakeUpTest(TestCase):
    @parameterized.expand(
        [
            ("at_the_same_instance", "entry-0", ONE_VERSION, 1),
        ]
    )
    @run_async
    async def test_twice_a_stream_ends_at_the_instance_before_if_it_is_taken_up(
        self, _, after, versions, instances
    ):
        async with running_simulation(versions, instances) as simulation:
            taken_up = await asyncio.gather(
                *(
                    take_up(simulation, "entry-0", after, number)
                    for number in range(STREAMS)
                )
            )
            now = asyncio.get_running_loop().time()
            streams = {f"q{number}-again": f"q{number}" for number in range(STREAMS)}
            overlaps = find_overlaps(simulation.upstreams, now, streams)
            self.assertEqual([], overlaps)
            for events in taken_up:
                self.assertEqual(list(range(TAKEN_UP_AFTER + 1, EVENTS + 1)), events)

    @run_async
    async def test_the_run_before_ends_though_its_caller_reads_nothing(self):
        async with (
            running_simulation(instances=1, padding=120_000) as simulation,
            forgotten_stream(simulation, "entry-0", "q1"),
        ):
            run = find_run(simulation, "q1")
            (owner,) = simulation.instances["entry-0"].frontend.context.owners
            await wait_until(owner.inbox.full, 2.0)
            self.assertIsNone(run.ended_at)
            await simulation.stream(
                "entry-0", "q2", 12, Last_Event_Id="5", Resumes="q1"
            )
            after_s = run.ended_at - find_run(simulation, "q2").began_at
            self.assertLess(after_s, HANDOVER_LIMIT_S)

    @run_async
    async def test_a_former_caller_that_still_reads_sees_its_stream_break_off(self):
        async with (
            running_simulation(instances=1) as simulation,
            forgotten_stream(simulation, "entry-0", "q1") as response,
        ):
            again = simulation.stream(
                "entry-0", "q2", 7, Last_Event_Id="5", Resumes="q1"
            )
            self.assertEqual((200, [6, 7]), await again)
            is_whole = True
            try:
                await response.read()
            except aiohttp.ClientPayloadError:
                is_whole = False
            self.assertFalse(is_whole)

    @run_async
    async def test_a_late_end_of_the_run_before_leaves_the_later_one_recorded(self):
        async with running_simulation(instances=1, padding=120_000) as simulation:
            context = simulation.instances["entry-0"].frontend.context
            again = {"Last_Event_Id": "5", "Resumes": "q1"}
            async with forgotten_stream(simulation, "entry-0", "q1") as first:
                (owner,) = context.owners
                await wait_until(owner.inbox.full, 2.0)
                async with forgotten_stream(simulation, "entry-0", "q2", **again):
                    self.assertEqual(2, len(context.owners))
                    first.close()
                    await wait_until(lambda: owner not in context.owners)
                    self.assertIn("q1", context.shared.versions.running)

    @parameterized.expand(
        [
            ("another_team_names_it", OTHER_KEY, {"Resumes": "q1"}),
            ("its_first_request_is_not_named", ACCESS_KEY, {}),
            ("another_stream_is_named", ACCESS_KEY, {"Resumes": "q7"}),
        ]
    )
    @run_async
    async def test_a_stream_goes_on_undisturbed_if(self, _, key, headers):
        async with running_simulation(instances=1) as simulation:
            table = simulation.instances["entry-0"].tables
            changed = configuration(version=2, tenants=TEAMS)
            simulation.store.store.write(CONFIGURATION_KEY, changed)
            await wait_until(lambda: table.current().version == 2)
            async with forgotten_stream(simulation, "entry-0", "q1"):
                sent = {"Authorization": f"Bearer {key}", "Last_Event_Id": "5"}
                again = simulation.stream("entry-0", "q2", EVENTS, **sent, **headers)
                self.assertEqual((200, list(range(6, EVENTS + 1))), await again)
                first, second = (find_run(simulation, each) for each in ("q1", "q2"))
                self.assertGreater(first.ended_at - second.began_at, 1.0)
                self.assertEqual(EVENTS, first.position)


def make_run(kind=RESUMABLE, team="team", **changes):
    """Return a request in progress of the stream `q1`, and how it is routed."""
    relay = make_test_relay(kind, make_relay_shared())
    routed = replace(relay.routed, team=team)
    return replace(relay.request, **changes), routed


class TakeUpRuleTest(TestCase):
    @parameterized.expand(
        [
            ("that_began_it", {}, True),
            ("that_took_it_up_before", {"request_id": "q2", "resumes": "q1"}, True),
            (
                "that_took_it_up_at_the_same_event",
                {"request_id": "q2", "resumes": "q1", "resume_after": TAKEN_UP_AFTER},
                True,
            ),
            (
                "that_took_it_up_at_a_later_event",
                {"request_id": "q3", "resumes": "q1", "resume_after": 6},
                False,
            ),
            ("that_came_later", {"arrived_at": 5.1}, False),
            ("of_another_stream", {"request_id": "q9"}, False),
            ("of_another_team", {"team": "other"}, False),
            ("of_another_kind", {"kind": STREAM}, False),
            ("that_is_this_one", {"request_id": "q1-again", "resumes": "q1"}, False),
        ]
    )
    def test_a_stream_that_is_taken_up_ends_a_run(self, _, changes, is_ended):
        self.assertEqual(is_ended, FIRST.ends(*make_run(**changes)))

    @parameterized.expand(
        [
            ("names_a_stream_and_an_event", {}, True),
            ("names_no_stream", {"resumes": None}, False),
            ("names_no_event", {"resume_after": None}, False),
            ("is_of_a_stream_that_is_not_resumed", {"kind": STREAM}, False),
            ("is_forwarded", {"hop": Hop("e1", 1)}, False),
        ]
    )
    def test_a_request_takes_a_stream_up_if_it(self, _, changes, is_taken_up):
        names = {"request_id": "q1-again", "resumes": "q1", "arrived_at": 5.0}
        names["resume_after"] = TAKEN_UP_AFTER
        found = find_take_up(*make_run(**(names | changes)))
        self.assertEqual(FIRST if is_taken_up else None, found)
