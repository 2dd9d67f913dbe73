"""Read-only commands: entry points, state dumps and checks of settings files."""

from __future__ import annotations

from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Annotated

import cappa

from turmericusher.cli.access import InstanceCall, call_instance, print_json
from turmericusher.cli.dispatch import EXIT_OK, run_command
from turmericusher.settings import load_settings

Address = Annotated[str, cappa.Arg(long=True, help="IP:PORT of an entry instance")]
Token = Annotated[
    str,
    cappa.Arg(
        long=True,
        default=cappa.Env("TURMERICUSHER_OPERATOR_TOKEN", default=""),
        help="operators' bearer token",
    ),
]
Json = Annotated[bool, cappa.Arg(long=True, help="print JSON")]


@dataclass
class Entrypoints:
    """List the addresses that callers should use, in order of preference."""

    address: Address = "127.0.0.1:8080"
    failure_domain: Annotated[str, cappa.Arg(long=True)] = ""
    json: Json = False


@dataclass
class State:
    """Print the state dump of one entry instance."""

    address: Address = "127.0.0.1:8080"
    token: Token = ""
    json: Json = False


@dataclass
class Check:
    """Validate a settings file and print a summary or its values."""

    path: Path
    json: Json = False


@cappa.command(name="settings")
@dataclass
class SettingsCommand:
    """Work on settings files."""

    command: cappa.Subcommands[Check]


@run_command.register
def run_entrypoints(command: Entrypoints) -> int:
    """Print the entry points that an instance returns."""
    path = "/v1/entrypoints"
    if command.failure_domain:
        path += f"?failure_domain={command.failure_domain}"
    answer = call_instance(InstanceCall("GET", command.address, path))
    if command.json:
        print_json(answer.body)
        return EXIT_OK
    for entry in answer.body["entrypoints"]:
        print(f"{entry['address']}  {entry['name']}  {entry['failure_domain']}")
    return EXIT_OK


@run_command.register
def run_state(command: State) -> int:
    """Print the state dump of an instance."""
    call = InstanceCall("GET", command.address, "/debug/state", token=command.token)
    print_json(call_instance(call).body)
    return EXIT_OK


@run_command.register
def run_settings(command: SettingsCommand) -> int:
    """Run the chosen subcommand of `settings`."""
    return run_command(command.command)


@run_command.register
def run_check(command: Check) -> int:
    """Validate a settings file and print its summary, or all values as JSON."""
    settings = load_settings(command.path)
    if command.json:
        print_json({**asdict(settings), "operator_token": "(hidden)"})
    else:
        names = ", ".join(service.name for service in settings.services)
        print(f"{command.path}: instance {settings.name}, services {names}")
    return EXIT_OK
