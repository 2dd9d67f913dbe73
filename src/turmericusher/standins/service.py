"""A plain service with a ledger of the calls that it ran, and switches for faults.

Every call on any path outside `/control/` that gets as far as running counts as a run
of its `Idempotency-Key`. The control routes read the ledger and set the faults:

- `GET /control/ledger` returns the number of runs by key;
- `GET /control/requests` returns the `Request-Name` headers of the runs by key;
- `PUT /control/faults` takes the fields of `ServiceFaults` as JSON;
- `GET /control/faults` returns them.

Instances query the load of their upstreams at `GET /metrics`, which is no call.
"""

from __future__ import annotations

import asyncio
import enum
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import asdict, dataclass, field

from aiohttp import web
from pydantic import TypeAdapter

from turmericusher.logs import log_event

LOOPBACK = "127.0.0.1"
# The ledger's key for calls without an `Idempotency-Key`.
NO_KEY = "-"
MAX_BODY_BYTES = 16_000_000


class ServiceFault(enum.StrEnum):
    """What goes wrong with a call.

    `DIE_BEFORE` resets the connection before the call runs, `DIE_AFTER` after it ran,
    `CUT_ANSWER` in the middle of the answer's body. `FREEZE_BEFORE` and `FREEZE_AFTER`
    never answer, before or after the run. `SLOW` answers after `delay_s`.
    """

    NONE = "none"
    DIE_BEFORE = "die_before"
    DIE_AFTER = "die_after"
    CUT_ANSWER = "cut_answer"
    FREEZE_BEFORE = "freeze_before"
    FREEZE_AFTER = "freeze_after"
    SLOW = "slow"


@dataclass(frozen=True, slots=True)
class ServiceFaults:
    """The fault that is switched on, and for how many calls; None affects all."""

    fault: ServiceFault = ServiceFault.NONE
    calls: int | None = None
    delay_s: float = 0.0


@dataclass(slots=True)
class ServiceLedger:
    """The service's state: its runs by key, their `Request-Name` headers, its faults.

    `answer_bytes` is the length of the padding in each answer.
    """

    name: str
    runs: Counter[str] = field(default_factory=Counter)
    request_names: dict[str, list[str]] = field(default_factory=dict)
    faults: ServiceFaults = field(default_factory=ServiceFaults)
    answer_bytes: int = 0

    def next_fault(self) -> ServiceFault:
        """Return the fault of the next call and count that call."""
        fault = self.faults.fault
        calls = self.faults.calls
        if calls is None:
            return fault
        if calls <= 0:
            return ServiceFault.NONE
        self.faults = ServiceFaults(fault, calls - 1, self.faults.delay_s)
        return fault


@dataclass(slots=True)
class RunningService:
    """A service whose socket `stop_listening` closes and `start_listening` opens."""

    ledger: ServiceLedger
    runner: web.AppRunner
    host: str
    port: int
    site: web.TCPSite | None = None

    @property
    def address(self) -> str:
        """The service's `host:port`."""
        return f"{self.host}:{self.port}"

    async def start_listening(self) -> None:
        """Start listening; port 0 is replaced by the one that the system chose."""
        self.site = web.TCPSite(self.runner, self.host, self.port, reuse_address=True)
        await self.site.start()
        self.port = self.runner.addresses[0][1]

    async def stop_listening(self) -> None:
        """Stop listening, so that connections are refused."""
        if self.site is not None:
            await self.site.stop()
            self.site = None


LEDGER = web.AppKey("ledger", ServiceLedger)
FAULTS_ADAPTER = TypeAdapter(ServiceFaults)


async def refuse_load_query(request: web.Request) -> web.StreamResponse:
    """Answer that the service tells no load; such a query is no run."""
    return web.Response(status=404)


async def handle_call(request: web.Request) -> web.StreamResponse:
    """Run one call and answer it, or fail in the way that is switched on."""
    ledger = request.app[LEDGER]
    body = await request.read()
    fault = ledger.next_fault()
    await fail_before_run(request, fault)
    key = request.headers.get("Idempotency-Key", NO_KEY)
    name = request.headers.get("Request-Name", "")
    # The log survives the process, so a kill does not hide which calls ran.
    log_event("service_ran", key=key, request_name=name)
    ledger.runs[key] += 1
    ledger.request_names.setdefault(key, []).append(name)
    run = ledger.runs[key]
    if fault is ServiceFault.SLOW:
        await asyncio.sleep(ledger.faults.delay_s)
    await fail_after_run(request, fault)
    answer = {
        "service": ledger.name,
        "key": key,
        "run": run,
        "path": request.path,
        "method": request.method,
        "body_bytes": len(body),
        "padding": "x" * ledger.answer_bytes,
    }
    if fault is ServiceFault.CUT_ANSWER:
        return await cut_answer(request)
    return web.json_response(answer)


async def fail_before_run(request: web.Request, fault: ServiceFault) -> None:
    """Apply a fault that prevents the run: reset the connection or never answer."""
    if fault is ServiceFault.DIE_BEFORE:
        reset_connection(request)
    if fault is ServiceFault.FREEZE_BEFORE:
        await asyncio.Event().wait()


async def fail_after_run(request: web.Request, fault: ServiceFault) -> None:
    """Apply a fault that follows the run: reset the connection or never answer."""
    if fault is ServiceFault.DIE_AFTER:
        reset_connection(request)
    if fault is ServiceFault.FREEZE_AFTER:
        await asyncio.Event().wait()


def reset_connection(request: web.Request) -> None:
    """Reset the caller's connection and end the handler."""
    if request.transport is not None:
        request.transport.abort()
    raise web.HTTPInternalServerError


async def cut_answer(request: web.Request) -> web.StreamResponse:
    """Start an answer and reset the connection in the middle of its body."""
    response = web.StreamResponse(headers={"Content-Length": "1000"})
    await response.prepare(request)
    await response.write(b"{")
    reset_connection(request)
    return response


async def get_ledger(request: web.Request) -> web.Response:
    """Return the number of runs by key."""
    return web.json_response(dict(request.app[LEDGER].runs))


async def get_request_names(request: web.Request) -> web.Response:
    """Return the `Request-Name` headers of the runs by key."""
    return web.json_response(request.app[LEDGER].request_names)


async def get_faults(request: web.Request) -> web.Response:
    """Return the faults that are switched on."""
    return web.json_response(asdict(request.app[LEDGER].faults))


async def put_faults(request: web.Request) -> web.Response:
    """Replace the faults with those in the body."""
    faults = FAULTS_ADAPTER.validate_json(await request.read())
    request.app[LEDGER].faults = faults
    return web.json_response(asdict(faults))


def make_service_app(ledger: ServiceLedger) -> web.Application:
    """Return the service's application with its control routes."""
    app = web.Application(client_max_size=MAX_BODY_BYTES)
    app[LEDGER] = ledger
    app.router.add_get("/control/ledger", get_ledger)
    app.router.add_get("/control/requests", get_request_names)
    app.router.add_get("/control/faults", get_faults)
    app.router.add_put("/control/faults", put_faults)
    app.router.add_get("/metrics", refuse_load_query)
    app.router.add_route("*", "/{path:.*}", handle_call)
    return app


@asynccontextmanager
async def running_service(
    host: str = LOOPBACK, port: int = 0, name: str = "halle-app"
) -> AsyncIterator[RunningService]:
    """Run a service on `host:port` and yield it; port 0 lets the system choose."""
    ledger = ServiceLedger(name)
    runner = web.AppRunner(
        make_service_app(ledger), shutdown_timeout=0.1, access_log=None
    )
    await runner.setup()
    service = RunningService(ledger, runner, host, port)
    await service.start_listening()
    try:
        yield service
    finally:
        await runner.cleanup()
