"""Commands that run one stand-in in a process of its own."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import sys
from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from dataclasses import dataclass
from typing import Annotated

import cappa

from turmericusher.cli.dispatch import EXIT_OK, run_command
from turmericusher.logs import configure_logs
from turmericusher.standins.engine import EngineOptions, EngineStandin, running_engine
from turmericusher.standins.engine_orders import (
    EngineOrderHandler,
    make_ordered_engine_app,
)
from turmericusher.standins.instances import InstanceListStandin, running_instance_list
from turmericusher.standins.service import running_service
from turmericusher.standins.store import MemoryStore
from turmericusher.standins.store_server import running_store

HOST = "127.0.0.1"
Port = Annotated[int, cappa.Arg(long=True)]


@dataclass
class Store:
    """Run the key-value service, in memory."""

    port: Port = 0


@dataclass
class Engine:
    """Run a model engine that generates synthetic tokens."""

    port: Port = 0
    name: Annotated[str, cappa.Arg(long=True)] = "engine-1"
    model: Annotated[str, cappa.Arg(long=True)] = "model"
    version: Annotated[str, cappa.Arg(long=True)] = "v1"
    slots: Annotated[int, cappa.Arg(long=True)] = 16
    first_token_s: Annotated[float, cappa.Arg(long=True)] = 0.02
    token_gap_s: Annotated[float, cappa.Arg(long=True)] = 0.01


@cappa.command(name="service")
@dataclass
class PlainService:
    """Run a plain service that keeps a ledger of what it ran."""

    port: Port = 0
    name: Annotated[str, cappa.Arg(long=True)] = "service-1"


@dataclass
class Instances:
    """Run the platform's HTTP list of instances."""

    port: Port = 0
    lag_s: Annotated[float, cappa.Arg(long=True)] = 0.5


@dataclass
class Standin:
    """Run a stand-in of a platform service or of an upstream."""

    command: cappa.Subcommands[Store | Engine | PlainService | Instances]


@run_command.register
def run_standin(command: Standin) -> int:
    """Run the chosen subcommand of `standin`."""
    return run_command(command.command)


@run_command.register
def run_store(command: Store) -> int:
    """Serve the stand-in of the key-value service."""
    return serve(lambda: running_store(HOST, command.port, MemoryStore()))


@run_command.register
def run_engine(command: Engine) -> int:
    """Serve the stand-in of a model engine, which accepts orders."""
    options = EngineOptions(
        name=command.name,
        models=(command.model,),
        version=command.version,
        slots=command.slots,
        first_token_s=command.first_token_s,
        token_gap_s=command.token_gap_s,
        exits_on_death=True,
    )
    standin = EngineStandin(options)
    app = make_ordered_engine_app(EngineOrderHandler(standin))
    return serve(lambda: running_engine(standin, HOST, command.port, app))


@run_command.register
def run_service(command: PlainService) -> int:
    """Serve the stand-in of a plain service, with logs on stderr."""
    configure_logs(sys.stderr)
    return serve(lambda: open_service(command))


@asynccontextmanager
async def open_service(command: PlainService) -> AsyncIterator[str]:
    """Run a plain service and yield its address."""
    async with running_service(HOST, command.port, command.name) as service:
        yield service.address


@run_command.register
def run_instances(command: Instances) -> int:
    """Serve the stand-in of the platform's list of instances."""
    standin = InstanceListStandin(lag_s=command.lag_s)
    return serve(lambda: running_instance_list(HOST, command.port, standin))


def serve(
    open_server: Callable[[], AbstractAsyncContextManager[str]],
) -> int:
    """Serve until SIGTERM or SIGINT; print the address once it accepts connections."""

    async def serve_until_stopped() -> None:
        stopped = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stopped.set)
        async with open_server() as address:
            print(f"listening on {address}", flush=True)
            await stopped.wait()

    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(serve_until_stopped())
    return EXIT_OK
