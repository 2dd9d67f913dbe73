"""Instances exchange over real sockets, whatever peers send or fail to send."""

import asyncio

from testtools import TestCase

from tests.common.asynchronous import run_async
from tests.common.waiting import wait_until
from turmericusher.decisions.fleet import Lifecycle, UpstreamInstance, UpstreamKind
from turmericusher.decisions.peer_messages import PeerQuery, PeerReply
from turmericusher.decisions.rollout import PeerRecords, ProfileChange, ProfileRecord
from turmericusher.decisions.suspicion import CrashReport
from turmericusher.decisions.upstream_marks import LeavingMark
from turmericusher.peers.messages import (
    MAX_MESSAGE_BYTES,
    MAX_RECORD_BYTES,
    PeerMessageError,
    query_from_wire,
    query_to_wire,
    reply_from_wire,
    reply_to_wire,
)
from turmericusher.profiles import Profile
from turmericusher.standins.local_fleet import (
    LocalInstance,
    running_fleet,
    wait_for_discovery,
)
from turmericusher.standins.store import MemoryStore

SHEETS = Profile("sheets", urgency=2)


def entry_point_names(instance: LocalInstance) -> set[str]:
    """Return the names of the entry points that an instance would give to callers."""
    return {one.name for one in instance.fleet.entrypoints("")}


class FleetTest(TestCase):
    @run_async
    async def test_a_change_reaches_an_instance_that_is_cut_off_from_the_store(
        self,
    ) -> None:
        async with running_fleet(MemoryStore(), 3, seed=1) as instances:
            first, _, cut = instances
            await wait_for_discovery(instances)
            cut.store.is_cut = True
            accepted = await first.changer.change(ProfileChange(SHEETS, 0, "change-1"))
            self.assertTrue(accepted.status.is_held_by_majority)
            await wait_until(lambda: "sheets" in cut.table.rollout.records)
            self.assertEqual(SHEETS, cut.table.get("sheets"))

    @run_async
    async def test_in_a_store_outage_only_an_isolated_instance_becomes_stale(
        self,
    ) -> None:
        store = MemoryStore()
        async with running_fleet(store, 3, seed=2, stale_after_s=3.0) as instances:
            isolated = instances[2]
            await wait_for_discovery(instances)
            isolated.exchange.is_cut = True
            store.faults.down = True
            await wait_until(lambda: not isolated.table.is_current())
            await asyncio.sleep(1)
            self.assertTrue(
                all(instance.table.is_current() for instance in instances[:2])
            )
            await wait_until(
                lambda: entry_point_names(instances[0]) == {"entry-0", "entry-1"}
            )
            isolated.exchange.is_cut = False
            await wait_until(lambda: isolated.table.is_current())
            await wait_until(lambda: "entry-2" in entry_point_names(instances[0]))

    @run_async
    async def test_marks_loads_crash_reports_and_leaving_spread(self) -> None:
        crash_report = CrashReport("f1", "u1", "a", "quai-nord", 3, 1.0)
        listed = [
            UpstreamInstance("u1", "s", UpstreamKind.ENGINE, "x", "d", incarnation="a")
        ]
        async with running_fleet(MemoryStore(), 3, seed=3) as instances:
            await wait_for_discovery(instances)
            first, _, last = instances
            charges: list[CrashReport] = []
            loads: dict[str, int] = {}
            first.fleet.hooks.own_crash_reports = lambda _limit: [crash_report]
            first.fleet.hooks.own_loads = lambda: {"u1": 7}
            last.fleet.hooks.on_crash_reports = charges.extend
            last.fleet.hooks.on_peer_loads = lambda _peer, found: loads.update(found)
            for instance in instances:
                instance.fleet.set_listed_upstreams(listed)
            first.fleet.mark_leaving_by_name("u1")
            first.fleet.membership.leave()
            await wait_until(lambda: bool(loads and charges))
            await wait_until(lambda: "entry-0" not in entry_point_names(last))
            await wait_until(
                lambda: last.fleet.upstreams()[0].lifecycle is Lifecycle.LEAVING
            )
            self.assertEqual(({"u1": 7}, crash_report), (loads, charges[0]))


class MessageTest(TestCase):
    @run_async
    async def test_messages_are_unchanged_by_encoding_and_decoding(self) -> None:
        async with running_fleet(MemoryStore(), 1, seed=4) as (one,):
            own = one.fleet.membership.own_claim()
            record = ProfileRecord(SHEETS, 5)
            records = PeerRecords((record,), 5, 0.5, True, True)
            marks = (LeavingMark("u1", "a"),)
            charges = (CrashReport("f", "u1", "a", "d", 2, 0.5, True),)
            answer = PeerReply(own, (own,), records, marks, (("u1", 3),), charges)
            question = PeerQuery(own, own, 7)
            self.assertEqual(answer, reply_from_wire(reply_to_wire(answer)))
            self.assertEqual(question, query_from_wire(query_to_wire(question)))

    @run_async
    async def test_a_message_is_bounded_and_ends_before_an_unreadable_record(
        self,
    ) -> None:
        async with running_fleet(MemoryStore(), 1, seed=5) as (one,):
            own = one.fleet.membership.own_claim()
            many = tuple(ProfileRecord(Profile(f"p{n}"), n) for n in range(1, 900))
            records = PeerRecords(many, 900, 0.0, True, True)
            wire = reply_to_wire(PeerReply(own, (), records))
            self.assertLess(wire.ByteSize(), MAX_RECORD_BYTES * 2)
            self.assertFalse(wire.is_whole)
            wire.is_whole = True
            wire.records[3].value = b"{}"
            sent = reply_from_wire(wire).records
            self.assertEqual((3, False), (len(sent.records), sent.is_whole))
            wire.members.add(name="x" * MAX_MESSAGE_BYTES)
            self.assertRaises(PeerMessageError, reply_from_wire, wire)
