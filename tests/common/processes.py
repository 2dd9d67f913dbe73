"""Real processes for tests and benchmarks: stand-ins and entry instances.

Every process that this module starts, it also ends, by the process's own id.
"""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import yaml

from tests.common.relay_fixtures import unused_loopback_host

ROOT = Path(__file__).parents[2]
LISTENING_PREFIX = "listening on "
CALLER_PORT = 20001
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.02
OPERATOR_TOKEN = "operator-token"
DOMAINS = ("domain-a", "domain-b", "domain-c")


@dataclass(slots=True)
class RunningProcess:
    """A process and the `ip:port` at which it listens."""

    name: str
    popen: subprocess.Popen[str]
    address: str = ""
    log_path: Path | None = None

    def kill(self) -> None:
        """Kill the process at once (SIGKILL)."""
        self.popen.kill()
        self.popen.wait()

    def freeze(self) -> None:
        """Pause the process (SIGSTOP)."""
        self.popen.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Let a paused process continue (SIGCONT)."""
        self.popen.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Request that the process stop (SIGTERM)."""
        self.popen.send_signal(signal.SIGTERM)


@dataclass(slots=True)
class Deployment:
    """The processes of a whole system on the loopback interface."""

    store: RunningProcess
    instances: RunningProcess
    engines: list[RunningProcess] = field(default_factory=list)
    services: list[RunningProcess] = field(default_factory=list)
    entries: list[RunningProcess] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class DeploymentOptions:
    """The number of processes of each kind, and the timing of the engines."""

    entries: int = 1
    engines: int = 2
    services: int = 0
    slots: int = 64
    first_token_s: float = 0.02
    token_gap_s: float = 0.01
    extra_settings: dict[str, Any] = field(default_factory=dict)


@contextmanager
def running_process(
    name: str, arguments: list[str], folder: Path, logs_to_stdout: bool = False
) -> Iterator[RunningProcess]:
    """Run `python -m turmericusher ARGUMENTS`; kill it when the context closes.

    With `logs_to_stdout` its standard output goes to the log file as well.
    """
    environment = {**os.environ, "PYTHONPATH": str(ROOT / "src")}
    log_path = folder / f"{name}.log"
    with log_path.open("w") as log:
        popen = subprocess.Popen(
            [sys.executable, "-m", "turmericusher", *arguments],
            stdout=log if logs_to_stdout else subprocess.PIPE,
            stderr=log,
            text=True,
            env=environment,
            cwd=folder,
        )
        try:
            yield RunningProcess(name, popen, log_path=log_path)
        finally:
            end_process(popen)


def end_process(popen: subprocess.Popen[str]) -> None:
    """Kill a process unless it has ended, and release its resources."""
    if popen.poll() is None:
        popen.kill()
    popen.wait(STOP_TIMEOUT_S)
    if popen.stdout is not None:
        popen.stdout.close()


def wait_until_listening(process: RunningProcess) -> None:
    """Wait until a stand-in prints its address, and record the address."""
    assert process.popen.stdout is not None
    line = process.popen.stdout.readline().strip()
    if not line.startswith(LISTENING_PREFIX):
        raise AssertionError(f"{process.name} did not start: {read_log(process)}")
    process.address = line.removeprefix(LISTENING_PREFIX)


@contextmanager
def running_entry(
    number: int, deployment: Deployment, options: DeploymentOptions, folder: Path
) -> Iterator[RunningProcess]:
    """Start one entry instance; it may not be ready yet. Kill it on closing."""
    name = f"entry-{number}"
    settings = entry_settings(number, deployment, options)
    path = folder / f"{name}.yaml"
    path.write_text(yaml.safe_dump(settings))
    with running_process(name, ["serve", str(path)], folder, True) as process:
        process.address = settings["instance"]["caller_address"]
        yield process


def entry_settings(
    number: int, deployment: Deployment, options: DeploymentOptions
) -> dict[str, Any]:
    """Return the settings of one entry instance, whose seeds are the earlier ones."""
    peers = [peer_address_for(entry.address) for entry in deployment.entries]
    # On 127.0.0.1 any outgoing connection may take a port before it is bound.
    caller_address = f"{unused_loopback_host()}:{CALLER_PORT}"
    return {
        "instance": {
            "name": f"entry-{number}",
            "failure_domain": DOMAINS[number % len(DOMAINS)],
            "caller_address": caller_address,
            "peer_address": peer_address_for(caller_address),
        },
        "store": {"url": f"http://{deployment.store.address}"},
        "instance_list_url": f"http://{deployment.instances.address}/instances",
        "services": [
            {
                "name": "drafts",
                "kind": "engine",
                "models": ["model"],
                "capacity_per_upstream": options.slots,
            },
            {"name": "ledger", "kind": "service"},
        ],
        "operators": {"token": OPERATOR_TOKEN},
        "peer_seeds": peers,
        **options.extra_settings,
    }


def peer_address_for(caller_address: str) -> str:
    """Return the peer address for a caller address: the same host, the next port."""
    host, _, port = caller_address.rpartition(":")
    return f"{host}:{int(port) + 1}"


@contextmanager
def running_deployment(options: DeploymentOptions) -> Iterator[Deployment]:
    """Run a whole system, ready for work; kill every process when the context closes.

    Processes that do not need each other's addresses start concurrently, because each
    takes more than a second to import its libraries.
    """
    with ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        deployment = start_standins(options, folder, stack)
        register_upstreams(deployment)
        for number in range(options.entries):
            entry_context = running_entry(number, deployment, options, folder)
            deployment.entries.append(stack.enter_context(entry_context))
        for entry in deployment.entries:
            wait_until_ready(entry)
        yield deployment


def start_standins(
    options: DeploymentOptions, folder: Path, stack: ExitStack
) -> Deployment:
    """Start all stand-ins concurrently, and wait until each of them listens."""

    def start(name: str, *arguments: str) -> RunningProcess:
        process_context = running_process(name, ["standin", *arguments], folder)
        return stack.enter_context(process_context)

    deployment = Deployment(
        store=start("store", "store"),
        instances=start("instances", "instances", "--lag-s", "0"),
    )
    for number in range(options.engines):
        name = f"engine-{number}"
        engine = start(name, "engine", "--name", name, *engine_arguments(options))
        deployment.engines.append(engine)
    for number in range(options.services):
        name = f"service-{number}"
        deployment.services.append(start(name, "service", "--name", name))
    standins = [*deployment.engines, *deployment.services]
    for process in (deployment.store, deployment.instances, *standins):
        wait_until_listening(process)
    return deployment


def register_upstreams(deployment: Deployment) -> None:
    """Add all upstreams to the platform's list."""
    for number, engine in enumerate(deployment.engines):
        register_upstream(deployment, engine, "drafts", "engine", number)
    for number, service in enumerate(deployment.services):
        register_upstream(deployment, service, "ledger", "service", number)


def engine_arguments(options: DeploymentOptions) -> list[str]:
    """Return the command-line arguments of an engine stand-in."""
    return [
        "--slots",
        str(options.slots),
        "--first-token-s",
        str(options.first_token_s),
        "--token-gap-s",
        str(options.token_gap_s),
    ]


def register_upstream(
    deployment: Deployment,
    process: RunningProcess,
    service: str,
    kind: str,
    number: int,
    incarnation: str = "1",
) -> None:
    """Add one upstream to the platform's list."""
    labels = {
        "name": process.name,
        "service": service,
        "kind": kind,
        "failure_domain": DOMAINS[number % len(DOMAINS)],
        "incarnation": incarnation,
        "state": "live",
        "models": "model" if kind == "engine" else "",
        "version": "v1" if kind == "engine" else "",
        "checks_fencing": "true",
    }
    entry = {"targets": [process.address], "labels": labels}
    post_json(deployment.instances.address, "/control/add", entry)


def post_json(
    address: str, path: str, body: Any, headers: dict[str, str] | None = None
) -> Any:
    """Send a JSON body by POST and return the parsed response."""
    request = urllib.request.Request(
        f"http://{address}{path}",
        data=json.dumps(body).encode(),
        headers={"Content-Type": "application/json", **(headers or {})},
    )
    with urllib.request.urlopen(request, timeout=STOP_TIMEOUT_S) as response:
        return json.loads(response.read())


def get_json(address: str, path: str, headers: dict[str, str] | None = None) -> Any:
    """Send a GET request and return the parsed JSON response."""
    request = urllib.request.Request(f"http://{address}{path}", headers=headers or {})
    with urllib.request.urlopen(request, timeout=STOP_TIMEOUT_S) as response:
        return json.loads(response.read())


def wait_until_ready(process: RunningProcess) -> None:
    """Wait until an entry instance accepts work."""
    deadline = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline:
        if process.popen.poll() is not None:
            break
        try:
            get_json(process.address, "/readyz")
            return
        except (urllib.error.URLError, OSError):
            time.sleep(POLL_INTERVAL_S)
    raise AssertionError(f"{process.name} did not start: {read_log(process)}")


def read_log(process: RunningProcess) -> str:
    """Return the last 2000 characters of a process's log."""
    if process.log_path is None:
        return ""
    return process.log_path.read_text()[-2000:]
