"""Test that the earlier run of a stream ends when its caller takes the stream up."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace

import aiohttp
from grpclib.server import Server
from parameterized import parameterized
from testtools import TestCase

from tests.common.asynchronous import run_async
from tests.common.raw_servers import running_raw_server
from tests.common.relay_events import RESUMABLE, STREAM
from tests.common.relay_fixtures import (
    ACCESS_KEY,
    HOST,
    PATHS,
    configuration,
    make_instance,
    make_relay_shared,
    make_test_relay,
    unused_loopback_host,
)
from tests.common.version_fixtures import (
    REFUSING_ADDRESS,
    VersionSimulation,
    running_version_simulation,
)
from tests.common.waiting import wait_until
from turmericusher.decisions.forwarding import Hop
from turmericusher.decisions.reachability import Reachability
from turmericusher.decisions.routing import RequestKind
from turmericusher.decisions.stream_places import (
    ASKED_HOLDERS,
    MAX_ASKED,
    MAX_PLACES,
    TELL_INTERVAL_S,
    StreamPlaces,
    instances_to_ask,
)
from turmericusher.decisions.stream_versions import KEPT_S, StreamVersions
from turmericusher.decisions.take_ups import TakeUp, find_take_up
from turmericusher.peers.streams_service import StreamsService, open_channels
from turmericusher.peers.take_ups_service import TakeUpChannels, decode, encode
from turmericusher.platform.names import CONFIGURATION_KEY
from turmericusher.ports.take_up_peers import TakeUpPeerError
from turmericusher.standins.working_upstream import (
    HANDOVER_LIMIT_S,
    Run,
    WorkingUpstream,
    find_overlaps,
)
from turmericusher.tasks.stream_versions import StreamVersionExchange
from turmericusher.tasks.take_ups import MAX_UNSENT, TakeUps, ending_earlier_runs

EVENTS, EVENT_GAP_S = 80, 0.03
TAKEN_UP_AFTER = 5
STREAMS = 6
PEER_PORT = 20005
ONE_VERSION = ("v1",) * 6
TWO_VERSIONS = ("v1", "v2", "v1", "v2", "v1", "v2")
OTHER_KEY = "key-of-another-team"
TEAMS = [
    {"name": "team-1", "access_keys": [ACCESS_KEY]},
    {"name": "team-2", "access_keys": [OTHER_KEY]},
]
FIRST = TakeUp("q1", "q1-again", "team", TAKEN_UP_AFTER, 5.0)


@asynccontextmanager
async def running_simulation(
    versions: tuple[str, ...] = ONE_VERSION,
    instances: int = 3,
    padding: int = 0,
    events: int = EVENTS,
) -> AsyncIterator[VersionSimulation]:
    """Run instances before engines that work whether or not connections last."""
    async with running_version_simulation(
        versions,
        instances=instances,
        make_standin=WorkingUpstream,
        events=events,
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


def find_runs(simulation: VersionSimulation, request_id: str) -> list[Run]:
    """Return the runs of a request."""
    return [
        run
        for upstream in simulation.upstreams
        for run in upstream.history
        if run.request_id == request_id
    ]


def find_run(simulation: VersionSimulation, request_id: str) -> Run:
    """Return the only run of a request."""
    (run,) = find_runs(simulation, request_id)
    return run


class CutOff(Reachability):
    """What an instance knows that reaches no upstream."""

    def is_unreachable(self, service: str) -> bool:
        """Whether a service is unreachable, as all are."""
        return True


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
            ("elsewhere_with_one_version", "entry-1", ONE_VERSION, 3),
            ("elsewhere_with_two_versions", "entry-1", TWO_VERSIONS, 3),
            ("elsewhere_in_a_larger_fleet", "entry-1", ONE_VERSION, MAX_ASKED + 2),
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
    async def test_twice_a_stream_ends_at_the_instance_before_in_a_larger_fleet(self):
        async with (
            running_simulation(instances=MAX_ASKED + 2, events=120) as simulation,
            forgotten_stream(simulation, "entry-0", "q0"),
            forgotten_stream(simulation, "entry-0", "q1"),
            forgotten_stream(simulation, "entry-0", "q2"),
        ):
            # Its instance tells another one of a stream in its first moments.
            await asyncio.sleep(4 * TELL_INTERVAL_S)
            for number in range(3):
                await simulation.stream(
                    "entry-1",
                    f"r{number}",
                    TAKEN_UP_AFTER + 1,
                    Last_Event_Id=str(TAKEN_UP_AFTER),
                    Resumes=f"q{number}",
                )
            for number in range(3):
                before, after = (find_run(simulation, f"{x}{number}") for x in "qr")
                self.assertIsNotNone(before.ended_at)
                self.assertLess(before.ended_at - after.began_at, HANDOVER_LIMIT_S)

    @parameterized.expand([("few", 3), ("many", MAX_ASKED + 2)])
    @run_async
    async def test_twice_a_forwarded_stream_ends_once_taken_up_if_instances_are(
        self, _, instances
    ):
        async with running_simulation(instances=instances, events=120) as simulation:
            shared = simulation.instances["entry-0"].shared
            shared.reach = CutOff(shared.selector)
            async with forgotten_stream(simulation, "entry-0", "q1"):
                await asyncio.sleep(2 * TELL_INTERVAL_S)
                await simulation.stream(
                    "entry-1", "r1", EVENTS, Last_Event_Id="5", Resumes="q1"
                )
                after = find_run(simulation, "r1")
                for run in find_runs(simulation, "q1"):
                    self.assertIsNotNone(run.ended_at)
                    self.assertLess(run.ended_at - after.began_at, HANDOVER_LIMIT_S)

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
            ("another_team_names_it", 0, OTHER_KEY, {"Resumes": "q1"}),
            ("another_team_names_it_elsewhere", 1, OTHER_KEY, {"Resumes": "q1"}),
            ("its_first_request_is_not_named", 0, ACCESS_KEY, {}),
            ("another_stream_is_named", 1, ACCESS_KEY, {"Resumes": "q7"}),
        ]
    )
    @run_async
    async def test_a_stream_goes_on_undisturbed_if(self, _, number, key, headers):
        async with running_simulation(instances=2) as simulation:
            tables = [node.tables for node in simulation.instances.values()]
            changed = configuration(version=2, tenants=TEAMS)
            simulation.store.store.write(CONFIGURATION_KEY, changed)
            await wait_until(
                lambda: all(table.current().version == 2 for table in tables)
            )
            async with forgotten_stream(simulation, "entry-0", "q1"):
                sent = {"Authorization": f"Bearer {key}", "Last_Event_Id": "5"}
                again = simulation.stream(
                    f"entry-{number}", "q2", EVENTS, **sent, **headers
                )
                self.assertEqual((200, list(range(6, EVENTS + 1))), await again)
                first, second = (find_run(simulation, each) for each in ("q1", "q2"))
                self.assertGreater(first.ended_at - second.began_at, 1.0)
                self.assertEqual(EVENTS, first.position)


class SlowPeersTest(TestCase):
    @parameterized.expand([("answer_nothing", None), ("refuse", REFUSING_ADDRESS)])
    @run_async
    async def test_a_stream_that_is_taken_up_waits_for_no_instances_that(
        self, _, address
    ):
        async with (
            running_raw_server(answer_nothing) as silent,
            running_simulation(instances=2) as simulation,
            forgotten_stream(simulation, "entry-0", "q1"),
        ):
            entries = simulation.instances["entry-1"].fleet.instances.entries
            entries["entry-0"] = replace(
                entries["entry-0"], peer_address=address or silent
            )
            clock = asyncio.get_running_loop().time
            began_at = clock()
            _, events = await simulation.stream(
                "entry-1", "q2", 6, Last_Event_Id="5", Resumes="q1"
            )
            self.assertEqual([6], events)
            self.assertLess(clock() - began_at, HANDOVER_LIMIT_S)

    @run_async
    async def test_an_instance_of_the_build_before_is_asked_without_effect(self):
        clock = asyncio.get_running_loop().time
        server = Server([StreamsService(StreamVersions(), clock)])
        host = unused_loopback_host()
        await server.start(host, PEER_PORT)
        address = f"{host}:{PEER_PORT}"
        try:
            with open_channels() as channels:
                peers = TakeUpChannels(channels)
                self.assertEqual([], await peers.end_earlier(address, [FIRST], 1.0))
                await peers.tell_place(address, "q1", "e0", 1.0)
                channel = channels.channels[address]
                await channels.ask(address, "q1", "s", 1.0)
                self.assertIs(channel, channels.channels[address])
        finally:
            server.close()
            await server.wait_closed()


async def answer_nothing(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Read a connection and answer nothing."""
    await reader.read()


@dataclass(slots=True)
class GatedPeers:
    """Connections to others that answer once `gate` is set, and what they were told.

    All name the instances `named` in their answers.
    """

    gate: asyncio.Event = field(default_factory=asyncio.Event)
    calls: list[tuple[str, list[str]]] = field(default_factory=list)
    named: tuple[str, ...] = ()

    async def end_earlier(
        self, address: str, take_ups: Sequence[TakeUp], timeout_s: float
    ) -> list[tuple[str, str]]:
        """Record the call, and fail once if it is the first one to the address."""
        is_first = address not in {called for called, _ in self.calls}
        self.calls.append((address, [each.stream for each in take_ups]))
        await self.gate.wait()
        if is_first:
            raise TakeUpPeerError("the connection broke")
        return [(each.stream, name) for each in take_ups for name in self.named]


def make_versions(others: int) -> StreamVersions:
    """Return what the instance `e0` knows that has so many others."""
    versions = StreamVersions()
    versions.update_instances("e0", [f"e{number}" for number in range(1, others + 1)])
    return versions


def make_take_ups(
    others: int, named: tuple[str, ...] = ()
) -> tuple[TakeUps, GatedPeers]:
    """Return what an instance tells so many others, and its connections to them."""
    versions = make_versions(others)
    instances = {
        name: replace(make_instance(name), peer_address=name)
        for name in versions.instances
    }
    take_ups = TakeUps(StreamVersionExchange(versions, None, instances=instances))
    peers = GatedPeers(named=named)
    take_ups.peers.set_result(peers)
    return take_ups, peers


class AskTest(TestCase):
    @parameterized.expand([("one", 1), ("as many as are kept", MAX_UNSENT + 6)])
    @run_async
    async def test_one_call_at_a_time_tells_an_instance_of_all_streams_after(
        self, _, streams
    ):
        take_ups, peers = make_take_ups(2)
        async with ending_earlier_runs(take_ups):
            for number in range(streams + 1):
                request, routed = make_run(
                    request_id=f"r{number}", resumes=f"s{number}", resume_after=1
                )
                take_ups.begin(request, routed)
                await asyncio.sleep(0)
            await asyncio.sleep(0)
            self.assertEqual([("e1", ["s0"]), ("e2", ["s0"])], peers.calls)
            peers.gate.set()
            await wait_until(lambda: not take_ups.asking)
            kept = [f"s{number}" for number in range(1, streams + 1)][-MAX_UNSENT:]
            for address in ("e1", "e2"):
                told = [streams for called, streams in peers.calls if called == address]
                self.assertEqual([["s0"], ["s0"], kept], told)

    @parameterized.expand(
        [
            (0, 0),
            (1, 1),
            (MAX_ASKED, MAX_ASKED),
            (MAX_ASKED + 1, ASKED_HOLDERS),
            (420, ASKED_HOLDERS),
        ]
    )
    def test_the_instances_that_are_asked_are_few(self, others, asked):
        versions = make_versions(others)
        found = instances_to_ask(versions, "q1")
        self.assertEqual(asked, len(found))
        self.assertLessEqual(set(found), versions.instances - {"e0"})

    @parameterized.expand([("few", 3, 3), ("many", 30, ASKED_HOLDERS)])
    @run_async
    async def test_instances_that_name_each_other_are_asked_a_few_times_if(
        self, _, others, asked
    ):
        take_ups, peers = make_take_ups(others, named=("e1", "e2", "e3", "e0", "gone"))
        peers.gate.set()
        take_up = {"request_id": "q2", "resumes": "q1", "resume_after": 5}
        take_ups.begin(*make_run(**take_up))
        await wait_until(lambda: not take_ups.asking)
        calls = Counter(address for address, _ in peers.calls)
        self.assertNotIn("e0", calls)
        if others <= MAX_ASKED:
            self.assertEqual({"e1": 2, "e2": 2, "e3": 2}, calls)
        else:
            self.assertLessEqual({"e1", "e2", "e3"}, calls.keys())
            self.assertLess(calls.total(), 40)

    def test_a_stream_that_runs_is_told_once_to_the_first_that_is_asked(self):
        places, versions = StreamPlaces(), make_versions(MAX_ASKED + 1)
        for stream in ("q1", "q2"):
            versions.record_begin(stream, "s", "v1", 0.0)
        told = [places.next_to_tell(versions) for _ in range(3)]
        first = {
            stream: instances_to_ask(versions, stream)[0] for stream in ("q1", "q2")
        }
        self.assertEqual([("q2", first["q2"]), ("q1", first["q1"]), None], told)
        versions.record_end("q1")
        self.assertIsNone(places.next_to_tell(versions))
        self.assertEqual({"q2"}, places.told)

    def test_in_a_small_fleet_nobody_is_told(self):
        versions = make_versions(MAX_ASKED)
        versions.record_begin("q1", "s", "v1", 0.0)
        self.assertIsNone(StreamPlaces().next_to_tell(versions))

    def test_the_last_place_that_was_told_counts_for_a_while(self):
        places = StreamPlaces()
        places.record("e1", ["q1"], 0.0)
        places.record("e2", ["q1"], 1.0)
        self.assertEqual("e2", places.find("q1", 2.0))
        self.assertIsNone(places.find("q1", 1.0 + KEPT_S))
        places.record("e3", [f"s{number}" for number in range(MAX_PLACES)], 2.0)
        self.assertEqual((MAX_PLACES, None), (len(places.known), places.find("q1", 2)))

    @parameterized.expand([("usual", 5, 5), ("absurd", 10**30, 2**63 - 1)])
    def test_a_message_keeps_what_it_tells_with_an_event_id_that_is(
        self, _, resume_after, told
    ):
        take_up = replace(FIRST, resume_after=resume_after)
        found = decode(encode(take_up, 6.5), 106.5)
        self.assertEqual(replace(FIRST, resume_after=told, arrived_at=105.0), found)


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
