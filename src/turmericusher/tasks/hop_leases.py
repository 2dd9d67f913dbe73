"""Keeps the leases of the streams that instances serve for each other.

One task asks the forwarders of the streams that are served here, and ends the streams
that are not confirmed in time. It sleeps while there are none.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from turmericusher.decisions.hop_leases import (
    QUESTION_INTERVAL_S,
    ForwardedHop,
    HopAnswer,
    HopQuestion,
    ServedHop,
    ServedHops,
)
from turmericusher.decisions.relay_messages import EndHop, RelayedRequest
from turmericusher.decisions.relay_state import RelayShared
from turmericusher.decisions.routing import RequestKind
from turmericusher.logs import log_event
from turmericusher.ports.hop_peers import (
    HopPeerError,
    HopPeerGoneError,
    HopPeers,
    HopsUnknownError,
)
from turmericusher.tasks.background import cancel_tasks, lasting_task
from turmericusher.tasks.stream_versions import StreamVersionExchange

END_TIMEOUT_S = 0.3
"""Seconds in which another instance must answer that a run has ended: several round
trips, the opening of a connection included. It is asked again until then."""


def new_peers() -> asyncio.Future[HopPeers]:
    """Return a future of the running event loop."""
    return asyncio.get_running_loop().create_future()


@dataclass(slots=True)
class HopRun:
    """The task that serves a stream for another instance at `address`.

    `closed` is set once its connection to the upstream is closed.
    """

    task: asyncio.Task[object]
    address: str | None
    is_ending: bool = False
    closed: asyncio.Event = field(default_factory=asyncio.Event)


@dataclass(slots=True)
class HopLeases:
    """The streams that other instances run for this one, and this one for others.

    `peers` are set once gRPC is loaded; until then nothing is asked, nor ended.
    `releases` has an event for each stream that is being taken back, set when its
    receiver tells that it has ended.
    """

    shared: RelayShared
    exchange: StreamVersionExchange
    served: ServedHops = field(default_factory=ServedHops)
    peers: asyncio.Future[HopPeers] = field(default_factory=new_peers)
    runs: dict[ServedHop, HopRun] = field(default_factory=dict)
    releases: dict[ForwardedHop, asyncio.Event] = field(default_factory=dict)
    questions: set[asyncio.Task[None]] = field(default_factory=set)
    wake: asyncio.Event = field(default_factory=asyncio.Event)

    # Streams that are served here

    @asynccontextmanager
    async def serving(
        self, request: RelayedRequest, kind: RequestKind
    ) -> AsyncIterator[None]:
        """Serve a request in the `async with` block, which ends with its lease.

        Only streams that their forwarder may resume elsewhere have one.
        """
        task = asyncio.current_task()
        assert task is not None
        if request.hop is None or kind is not RequestKind.RESUMABLE_STREAM:
            yield
            return
        forwarder, now = request.hop.sender, asyncio.get_running_loop().time()
        address = self.exchange.peer_address(forwarder)
        is_leased = address is not None
        hop = self.served.begin(forwarder, request.request_id, now, is_leased)
        run = self.runs[hop] = HopRun(task, address)
        self.wake.set()
        try:
            yield
        except asyncio.CancelledError:
            if not run.is_ending:
                raise
            task.uncancel()
        finally:
            self.served.end(hop)
            del self.runs[hop]
            run.closed.set()

    def end_run(self, hop: ServedHop, reason: str) -> None:
        """End a run as if its caller had gone."""
        run = self.runs[hop]
        hop.is_leased = False
        if run.is_ending:
            return
        run.is_ending = True
        self.shared.totals.hops_let_go += 1
        log_event(
            "hop_let_go", id=hop.request_id, instance=hop.forwarder, reason=reason
        )
        run.task.cancel()

    async def end_for(self, forwarder: str, receiver: str, request_id: str) -> bool:
        """End the run of a forwarder's request; return whether there was one.

        `receiver` is the incarnation that has it.
        """
        if receiver != self.shared.forwarding.incarnation:
            return False
        hops = self.served.find(forwarder, request_id)
        runs = [self.runs[hop] for hop in hops]
        for hop in hops:
            self.end_run(hop, "taken_back")
        for run in runs:
            await run.closed.wait()
        return bool(runs)

    async def run(self) -> None:
        """Ask forwarders, and end what they do not confirm, until cancelled."""
        await asyncio.shield(self.peers)
        while True:
            await self.wait_until_due()
            now = asyncio.get_running_loop().time()
            for hop in self.served.expired(now):
                self.end_run(hop, "lease_over")
            for question in self.served.take_questions(now):
                task = asyncio.create_task(self.ask(question))
                self.questions.add(task)
                task.add_done_callback(self.questions.discard)

    async def wait_until_due(self) -> None:
        """Wait until a question or the end of a lease may be due."""
        self.wake.clear()
        try:
            async with asyncio.timeout_at(self.served.wake_at()):
                await self.wake.wait()
        except TimeoutError:
            return

    async def ask(self, question: HopQuestion) -> None:
        """Ask a forwarder which streams it still waits for, and end the others."""
        address = self.forwarder_address(question)
        try:
            answer = address and await self.ask_at(address, question)
        finally:
            self.served.close_question(question)
            self.wake.set()
        if not address or not answer:
            return
        unwanted = self.served.record_answer(question, answer)
        for hop in unwanted:
            if hop in self.runs:
                self.end_run(hop, "unwanted")
        if unwanted:
            await self.tell_ended(address, unwanted, answer.number)

    async def ask_at(self, address: str, question: HopQuestion) -> HopAnswer | None:
        """Return the answer of a forwarder, or None if it has not answered."""
        own, name = self.shared.forwarding, question.forwarder
        try:
            return await self.peers.result().confirm(
                address,
                own.own,
                own.incarnation,
                question.request_ids(),
                QUESTION_INTERVAL_S,
            )
        except HopsUnknownError:
            self.served.record_unknown(question)
            log_event("hop_leases_unknown", instance=name)
        except HopPeerError as error:
            log_event("hops_unconfirmed", instance=name, error=str(error))
        return None

    async def tell_ended(
        self, address: str, hops: list[ServedHop], number: int
    ) -> None:
        """Tell a forwarder that streams which it did not want have ended here."""
        own, name = self.shared.forwarding, hops[0].forwarder
        for run in [self.runs[hop] for hop in hops if hop in self.runs]:
            await run.closed.wait()
        names = {hop.request_id for hop in hops}
        ended = sorted(each for each in names if not self.served.find(name, each))
        try:
            await self.peers.result().tell_ended(
                address, own.own, own.incarnation, ended, number, QUESTION_INTERVAL_S
            )
        except HopPeerError as error:
            log_event("hop_end_untold", instance=name, error=str(error))

    def forwarder_address(self, question: HopQuestion) -> str | None:
        """Return where a forwarder is asked: as listed, or as it was when it sent.

        It is None if none of the streams runs any more.
        """
        listed = self.exchange.peer_address(question.forwarder)
        known = [self.runs[hop].address for hop in question.hops if hop in self.runs]
        return listed or next(filter(None, known), None)

    # Streams that other instances serve

    def confirm(
        self, server: str, incarnation: str, request_ids: list[str]
    ) -> HopAnswer:
        """Return which streams this instance still waits for at the one that asks."""
        now = asyncio.get_running_loop().time()
        return self.shared.forwarded.confirm(server, incarnation, request_ids, now)

    def record_ended(
        self, server: str, incarnation: str, request_ids: list[str], number: int
    ) -> None:
        """Record what another instance has ended because of an answer of this one."""
        names = set(request_ids)
        for hop, has_ended in self.releases.items():
            receiver = hop.receiver.name, hop.receiver.incarnation
            is_told = receiver == (server, incarnation) and hop.request_id in names
            if is_told and hop.is_ended_by(number):
                has_ended.set()

    async def end_elsewhere(self, action: EndHop) -> str | None:
        """Have another instance end its run; return how it did, None if not known.

        It is asked until its lease is over. It may also learn that from the answer to
        its own question, and tell.
        """
        hop, clock = action.hop, asyncio.get_running_loop().time
        has_ended = self.releases[hop] = asyncio.Event()
        asking = asyncio.create_task(self.ask_until_ended(action))
        telling = asyncio.create_task(has_ended.wait())
        try:
            await asyncio.wait(
                {asking, telling},
                timeout=max(0.0, action.ends_by - clock()),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if has_ended.is_set():
                return "told"
            return asking.result() if asking.done() else None
        finally:
            del self.releases[hop]
            await cancel_tasks({asking, telling})

    async def ask_until_ended(self, action: EndHop) -> str | None:
        """Ask for the end of a run until that is answered or the lease is over."""
        await asyncio.shield(self.peers)
        clock = asyncio.get_running_loop().time
        while (asked_at := clock()) < action.ends_by:
            outcome = await self.ask_for_end(action.hop)
            if outcome is not None:
                return outcome
            await asyncio.sleep(max(0.0, asked_at + END_TIMEOUT_S - clock()))
        return None

    async def ask_for_end(self, hop: ForwardedHop) -> str | None:
        """Ask once for the end of a run, and return what shows that it has ended.

        One that knows no leases is left as it is.
        """
        receiver, name = hop.receiver, hop.receiver.name
        listed = self.exchange.instances.get(name)
        if listed is not None and listed.incarnation != receiver.incarnation:
            return "replaced"
        if receiver.peer_address == receiver.caller_address:
            return None if hop.confirmed_at is not None else "unknown"
        try:
            await self.peers.result().end(
                listed.peer_address if listed is not None else receiver.peer_address,
                self.shared.forwarding.own,
                receiver.incarnation,
                hop.request_id,
                END_TIMEOUT_S,
            )
        except HopPeerGoneError:
            return "gone"
        except HopsUnknownError:
            return "unknown"
        except HopPeerError as error:
            log_event("hop_end_unanswered", instance=name, error=str(error))
            return None
        return "ended"


@asynccontextmanager
async def keeping_hop_leases(leases: HopLeases) -> AsyncIterator[None]:
    """Ask forwarders and end what they do not confirm while the context is open."""
    try:
        async with lasting_task("hop-leases", leases.run):
            yield
    finally:
        await cancel_tasks(leases.questions)
