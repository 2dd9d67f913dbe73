"""`turmericusher try`: an entry instance and all its stand-ins in one process."""

from __future__ import annotations

import asyncio
import shutil
import signal
from contextlib import AsyncExitStack

from turmericusher.decisions.fleet import UpstreamInstance, UpstreamKind
from turmericusher.serving import serving_entry_instance
from turmericusher.settings import Settings, parse_settings
from turmericusher.standins.engine import EngineOptions, EngineStandin, running_engine
from turmericusher.standins.instances import InstanceListStandin, running_instance_list
from turmericusher.standins.service import running_service
from turmericusher.standins.store import MemoryStore
from turmericusher.standins.store_server import running_store

HOST = "127.0.0.1"
MODEL = "demo"
ENGINE_COUNT = 2
OPERATOR_TOKEN = "operator-token"
PEER_PORT_OFFSET = 1000

SETTINGS_TEMPLATE = """
instance:
  name: entry-1
  failure_domain: local
  caller_address: {host}:{port}
  peer_address: {host}:{peer_port}
store:
  url: http://{store}
instance_list_url: http://{instances}/instances
services:
  - {{name: drafts, kind: engine, models: [{model}]}}
  - {{name: ledger, kind: service}}
operators:
  token: {token}
"""

GUIDE_TEMPLATE = """
turmericusher is serving with stand-ins of the platform, two engines and one service.

  entry instance    http://{entry}
  operators' token  {token}

A streamed generation, as any OpenAI client requests it:

  curl -N http://{entry}/v1/completions -H 'Content-Type: application/json' \\
    -d '{{"model": "{model}", "prompt": "Hello", "max_tokens": 24, "stream": true}}'

A call to the plain service, and the state of the process:

  {program} call ledger book --address {entry} --body '{{"lot": 7}}'
  {program} state --address {entry} --token {token}

Kill an engine while it generates; the answer continues on the other one:

{engines}

Stop with Ctrl-C.
"""


async def run_trial(port: int) -> None:
    """Run the stand-ins and an entry instance until SIGTERM or SIGINT."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    async with AsyncExitStack() as stack:
        store = await stack.enter_async_context(running_store(HOST, 0, MemoryStore()))
        instance_list = InstanceListStandin(lag_s=0.0)
        engines = []
        for engine_number in range(1, ENGINE_COUNT + 1):
            engines.append(await start_engine(stack, instance_list, engine_number))
        await start_service(stack, instance_list)
        instances = await stack.enter_async_context(
            running_instance_list(HOST, 0, instance_list)
        )
        settings = trial_settings(port, store, instances)
        await stack.enter_async_context(serving_entry_instance(settings))
        print(format_guide(settings, engines), flush=True)
        await stopped.wait()


async def start_engine(
    stack: AsyncExitStack, instance_list: InstanceListStandin, number: int
) -> str:
    """Start one engine, add it to the instance list and return its address."""
    options = EngineOptions(name=f"engine-{number}", models=(MODEL,), token_gap_s=0.05)
    address = await stack.enter_async_context(running_engine(EngineStandin(options)))
    instance_list.add(
        UpstreamInstance(
            name=options.name,
            service="drafts",
            kind=UpstreamKind.ENGINE,
            address=address,
            failure_domain="local",
            incarnation="1",
            version=options.version,
            models=options.models,
        )
    )
    return address


async def start_service(
    stack: AsyncExitStack, instance_list: InstanceListStandin
) -> None:
    """Start the plain service and add it to the instance list."""
    service = await stack.enter_async_context(running_service(HOST, 0, "service-1"))
    instance_list.add(
        UpstreamInstance(
            name="service-1",
            service="ledger",
            kind=UpstreamKind.SERVICE,
            address=service.address,
            failure_domain="local",
            incarnation="1",
        )
    )


def trial_settings(port: int, store: str, instances: str) -> Settings:
    """Return the settings of the trial's entry instance."""
    text = SETTINGS_TEMPLATE.format(
        host=HOST,
        port=port,
        peer_port=port + PEER_PORT_OFFSET,
        store=store,
        instances=instances,
        model=MODEL,
        token=OPERATOR_TOKEN,
    )
    return parse_settings(text)


def format_guide(settings: Settings, engines: list[str]) -> str:
    """Return the printed guide, with commands that a new user can run."""
    kill_commands = "\n".join(
        f"  curl http://{address}/control/faults -d '{{\"die\": true}}'"
        for address in engines
    )
    return GUIDE_TEMPLATE.format(
        entry=settings.caller_address,
        program=program_command(),
        token=OPERATOR_TOKEN,
        model=MODEL,
        engines=kill_commands,
    )


def program_command() -> str:
    """Return the shell command that runs turmericusher in this environment.

    `make try` does not install the package, so its command is not on the path.
    """
    if shutil.which("turmericusher"):
        return "turmericusher"
    return "PYTHONPATH=src .venv/bin/python -m turmericusher"
