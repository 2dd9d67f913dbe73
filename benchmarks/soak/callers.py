"""Callers that reuse connections, disconnect early and verify their answers."""

from __future__ import annotations

import asyncio
import itertools
import math
import random
import re
from dataclasses import dataclass, field

import aiohttp
import orjson

from benchmarks.soak.deployment import Deployment, InstanceProcess, version_path
from benchmarks.soak.history import Probe, SentRequest
from benchmarks.soak.upstream import (
    CRASHING_PART,
    CRASHING_TARGET,
    EVENT_COUNT,
    answer_content,
    request_body,
)
from tests.common.relay_fixtures import ACCESS_KEY, HOST, PATHS
from turmericusher.decisions.routing import RequestKind
from turmericusher.platform.names import (
    ENTRYPOINTS_PATH,
    LAST_EVENT_ID,
    PROMPT_PARTS,
    REMAINING_MS,
    REQUEST_ID,
    RESUMES,
)

CALL_TIMEOUT_S = 2.0
STREAM_TIMEOUT_S = 4.0
"""Timeouts that callers ask for. That of streams equals the timeout of the routes,
beyond which the relay does not wait, whatever deadline a caller sends."""

ANSWER_SLACK_S = 0.5
"""Longest time after a request's deadline at which its final answer may arrive."""

ABANDON_DELAY_S = 3.0
"""Time after the deadline at which a caller closes a connection without an answer."""

DISCONNECT_SHARE = 0.12
RESUME_SHARE = 0.15
MEAN_THINK_TIME_S = 0.15
REQUEST_KINDS = (
    RequestKind.IDEMPOTENT,
    RequestKind.NON_IDEMPOTENT,
    RequestKind.RESUMABLE_STREAM,
    RequestKind.STREAM,
)
KIND_WEIGHTS = (0.35, 0.3, 0.25, 0.1)
RESOLVE_INTERVAL_S = 1.0
"""How often callers refresh the entry points: as rarely as the system allows."""

CRASHING_CALLERS = 3
CRASHING_CALL_INTERVAL_S = 0.4
"""Callers that send the call that crashes upstreams, and the mean time of each between
two sends of it."""

PROBE_INTERVAL_S = 0.3
EVENT_PATTERN = re.compile(rb"id: (\d+)\nevent: (\w+)\ndata: ([0-9a-f]+)\n\n")
MAX_WAIT_S = 5.0
"""Longest time for which a caller waits before it comes back."""


@dataclass(slots=True)
class Callers:
    """All callers of a run and the state that they share.

    `entry_instances` holds the instances that the last entry-point answer listed.
    """

    deployment: Deployment
    rng: random.Random
    entry_instances: list[InstanceProcess] = field(default_factory=list)
    id_counter: itertools.count[int] = field(default_factory=itertools.count)

    async def poll_entrypoints(self) -> None:
        """Query a random instance for the entry points at a fixed interval."""
        while True:
            queried = self.rng.choice(self.deployment.instances)
            url = f"http://{queried.host}:20003{ENTRYPOINTS_PATH}"
            try:
                async with self.deployment.session.get(url) as response:
                    if response.status == 200:
                        self.update_entry_instances(orjson.loads(await response.read()))
            except (aiohttp.ClientError, TimeoutError):
                pass
            await asyncio.sleep(RESOLVE_INTERVAL_S)

    def update_entry_instances(self, answer: dict[str, list[str]]) -> None:
        """Replace the entry instances by those of an answer, unless it lists none."""
        hosts = {address.partition(":")[0] for address in answer["addresses"]}
        listed = [one for one in self.deployment.instances if one.host in hosts]
        self.entry_instances = listed or self.entry_instances

    async def send_requests(self) -> None:
        """Send requests one after another over persistent connections.

        A request refused with `Retry-After` is sent once more after that time, and some
        resumable streams that ended early are resumed after their last event.
        """
        connector = aiohttp.TCPConnector(keepalive_timeout=60.0)
        async with aiohttp.ClientSession(connector=connector) as session:
            while True:
                await asyncio.sleep(self.rng.expovariate(1 / MEAN_THINK_TIME_S))
                kind = self.rng.choices(REQUEST_KINDS, KIND_WEIGHTS)[0]
                number = next(self.id_counter)
                path = f"{PATHS[kind]}subject-{number}"
                request = await self.send(session, kind, path)
                if request.retry_after_s is not None:
                    request.comes_back = True
                    await asyncio.sleep(min(request.retry_after_s, MAX_WAIT_S))
                    request = await self.send(session, kind, path)
                if (
                    kind is RequestKind.RESUMABLE_STREAM
                    and 0 < request.last_event < EVENT_COUNT
                    and self.rng.random() < RESUME_SHARE
                ):
                    await self.send(
                        session, kind, path, request.last_event, request.request_id
                    )

    async def send(
        self,
        session: aiohttp.ClientSession,
        kind: RequestKind,
        path: str,
        resume_after: int = 0,
        resumes: str = "",
    ) -> SentRequest:
        """Send one request, perhaps disconnect early, and record the result."""
        instance = self.rng.choice(self.entry_instances or self.deployment.instances)
        request = self.record_request(kind, instance, path, resume_after)
        request.resumes = resumes
        has_faults = self.deployment.history.faults_end_at == math.inf
        if kind is RequestKind.RESUMABLE_STREAM and not resumes and has_faults:
            share = self.deployment.plan.crashing_share
            request.is_crashing = self.rng.random() < share
        disconnect_after_s = None
        if self.rng.random() < DISCONNECT_SHARE:
            disconnect_after_s = self.rng.uniform(0.0, 1.0)
        try:
            async with asyncio.timeout(disconnect_after_s):
                await self.exchange(session, instance, request)
        except TimeoutError:
            request.left_at = self.deployment.now()
        request.ended_at = self.deployment.now()
        return request

    def record_request(
        self,
        kind: RequestKind,
        instance: InstanceProcess,
        path: str,
        resume_after: int = 0,
    ) -> SentRequest:
        """Create the record of a request that is sent now and add it to the history."""
        timeout_s = STREAM_TIMEOUT_S if kind.is_stream else CALL_TIMEOUT_S
        now = self.deployment.now()
        request = SentRequest(
            request_id=f"q{next(self.id_counter)}",
            kind=kind,
            instance=instance.name,
            path=path,
            sent_at=now,
            deadline=now + timeout_s,
            last_event=resume_after,
        )
        self.deployment.history.requests[request.request_id] = request
        return request

    async def exchange(
        self,
        session: aiohttp.ClientSession,
        instance: InstanceProcess,
        request: SentRequest,
    ) -> None:
        """Send a request and read its answer until the caller abandons it.

        Connection errors and that timeout leave the request without a whole answer.
        """
        try:
            async with asyncio.timeout(
                request.deadline - request.sent_at + ABANDON_DELAY_S
            ):
                await self.post_request(session, instance, request)
        except (aiohttp.ClientError, TimeoutError):
            pass

    async def post_request(
        self,
        session: aiohttp.ClientSession,
        instance: InstanceProcess,
        request: SentRequest,
    ) -> None:
        """Send a request over the instance's link, then read and verify the answer."""
        headers = request_headers(
            request.request_id, request.deadline - request.sent_at
        )
        if request.last_event:
            headers[LAST_EVENT_ID] = str(request.last_event)
        if request.resumes:
            headers[RESUMES] = request.resumes
        if request.kind is RequestKind.RESUMABLE_STREAM:
            headers[PROMPT_PARTS] = prompt_parts(request)
        url = f"http://{instance.caller_link.address}{request.path}"
        body = request_body(request.body_of or request.request_id)
        async with session.post(url, headers=headers, data=body) as response:
            request.status = response.status
            if "Retry-After" in response.headers:
                request.retry_after_s = float(response.headers["Retry-After"])
            answered_id = response.headers.get(REQUEST_ID, request.request_id)
            if answered_id != request.request_id:
                request.error = f"the answer carries request id {answered_id!r}"
            if response.status == 200 and request.kind.is_stream:
                await self.read_events(response, request)
            else:
                data = await response.read()
                request.is_whole = True
                expected = answer_content(request.path).encode()
                if response.status == 200 and data != expected:
                    request.error = f"body={data!r}"

    async def read_events(
        self, response: aiohttp.ClientResponse, request: SentRequest
    ) -> None:
        """Read a stream and verify the number and content of each event."""
        buffer, last_received_at = b"", self.deployment.now()
        async for data in response.content.iter_any():
            now = self.deployment.now()
            request.longest_gap_s = max(request.longest_gap_s, now - last_received_at)
            buffer, last_received_at = buffer + data, now
            while (match := EVENT_PATTERN.match(buffer)) is not None:
                buffer = buffer[match.end() :]
                number = int(match[1])
                expected = answer_content(request.path, number).encode()
                if number != request.last_event + 1 or match[3] != expected:
                    request.error = f"event {number} after {request.last_event}"
                request.last_event = number
                request.versions.add(match[2].decode())
        request.is_whole = True
        if buffer or request.last_event != EVENT_COUNT:
            request.error = f"complete after event {request.last_event}, {buffer!r}"

    async def send_crashing_call(self) -> None:
        """Send the call that crashes upstreams to random instances, while faults last.

        It is the same each time, but for its id.
        """
        async with aiohttp.ClientSession() as session:
            while self.deployment.history.faults_end_at == math.inf:
                await asyncio.sleep(self.rng.expovariate(1 / CRASHING_CALL_INTERVAL_S))
                instance = self.rng.choice(self.deployment.instances)
                request = self.record_request(
                    RequestKind.IDEMPOTENT, instance, CRASHING_TARGET
                )
                request.is_crashing, request.body_of = True, CRASHING_TARGET
                await self.exchange(session, instance, request)
                request.ended_at = self.deployment.now()

    async def probe_versions(self) -> None:
        """Probe random instances for the routes of the three newest versions."""
        async with aiohttp.ClientSession() as session:
            while True:
                await asyncio.sleep(PROBE_INTERVAL_S)
                instance = self.rng.choice(self.deployment.instances)
                newest = self.deployment.version
                version = self.rng.randint(max(1, newest - 2), newest)
                await self.probe(session, instance, version)

    async def probe(
        self, session: aiohttp.ClientSession, instance: InstanceProcess, version: int
    ) -> None:
        """Record whether an instance serves the route of a configuration version.

        The result is dropped if the instance restarted in the meantime.
        """
        incarnation = instance.incarnation
        path = f"{version_path(version)}x"
        request = self.record_request(RequestKind.IDEMPOTENT, instance, path)
        await self.exchange(session, instance, request)
        request.ended_at = self.deployment.now()
        if request.status in (200, 404) and instance.incarnation == incarnation:
            is_known = request.status == 200
            probe = Probe(
                instance.name, incarnation, version, request.sent_at, is_known
            )
            self.deployment.history.probes.append(probe)


def prompt_parts(request: SentRequest) -> str:
    """Return the parts of a stream's prompt: shared ones, then its own."""
    middle = CRASHING_PART if request.is_crashing else "50545054"
    own = int(request.request_id[1:])
    return f"f0f0f0f0:200,{middle}:50,{own:08x}:30"


def request_headers(request_id: str, timeout_s: float) -> dict[str, str]:
    """Return the headers of a request with its id and its remaining time."""
    return {
        "Host": HOST,
        "Authorization": f"Bearer {ACCESS_KEY}",
        REQUEST_ID: request_id,
        REMAINING_MS: str(round(timeout_s * 1000)),
    }


def start_callers(deployment: Deployment) -> None:
    """Start the callers and probes as tasks that end with the deployment."""
    callers = Callers(deployment, random.Random(f"soak-callers/{deployment.plan.seed}"))
    coroutines = [callers.poll_entrypoints(), callers.probe_versions()]
    coroutines += [callers.send_requests() for _ in range(deployment.plan.callers)]
    if deployment.plan.has_crashing_call:
        coroutines += [callers.send_crashing_call() for _ in range(CRASHING_CALLERS)]
    for coroutine in coroutines:
        deployment.tasks.add(asyncio.create_task(coroutine))
