"""Operator commands for profiles: create, change, retire, list and show."""

from __future__ import annotations

import time
import uuid
from dataclasses import dataclass, field
from typing import Annotated, Any

import cappa
import orjson

from turmericusher.cli.access import InstanceCall, call_instance, print_json
from turmericusher.cli.dispatch import EXIT_FAILED, EXIT_OK, run_command
from turmericusher.cli.queries import Address, Json, Token
from turmericusher.errors import ErrorCode, RequestRefusedError, TurmericusherError

PROFILES_PATH = "/v1/operator/profiles"
WAIT_LIMIT_S = 19.0
"""Seconds for which `--wait` polls a rollout.

An accepted change should be in force on every live instance by then.
"""
RETRY_INTERVAL_S = 0.2
"""Seconds between polls of a rollout, and before the first retry of a change."""
MAX_SEND_ATTEMPTS = 5
"""Maximum number of times that a change is sent while its outcome is unknown."""

Wait = Annotated[
    bool, cappa.Arg(long=True, help="wait until it is in force on every live instance")
]
ChangeId = Annotated[
    str,
    cappa.Arg(
        long=True, help="ID of an earlier change, to repeat it and get its outcome"
    ),
]
Fields = Annotated[
    list[str],
    cappa.Arg(short="-s", long="--set", help="FIELD=VALUE, for example urgency=3"),
]
ExpectedRevision = Annotated[
    int,
    cappa.Arg(
        long=True,
        help="the revision that the change replaces; if negative, the current one",
    ),
]


@dataclass
class Create:
    """Create a profile."""

    name: str
    fields: Fields = field(default_factory=list)
    change_id: ChangeId = ""
    wait: Wait = False
    address: Address = "127.0.0.1:8080"
    token: Token = ""
    json: Json = False


@dataclass
class Change:
    """Change some fields of a profile."""

    name: str
    fields: Fields = field(default_factory=list)
    expected_revision: ExpectedRevision = -1
    change_id: ChangeId = ""
    wait: Wait = False
    address: Address = "127.0.0.1:8080"
    token: Token = ""
    json: Json = False


@dataclass
class Retire:
    """Retire a profile; its name stays reserved."""

    name: str
    expected_revision: ExpectedRevision = -1
    change_id: ChangeId = ""
    wait: Wait = False
    address: Address = "127.0.0.1:8080"
    token: Token = ""
    json: Json = False


@cappa.command(name="list")
@dataclass
class ListProfiles:
    """List the profiles."""

    address: Address = "127.0.0.1:8080"
    token: Token = ""
    json: Json = False


@dataclass
class Show:
    """Show a profile and its rollout over the live instances."""

    name: str
    wait: Wait = False
    address: Address = "127.0.0.1:8080"
    token: Token = ""
    json: Json = False


@cappa.command(name="profile")
@dataclass
class ProfileCommand:
    """Create, change, retire and show profiles."""

    command: cappa.Subcommands[Create | Change | Retire | ListProfiles | Show]


@run_command.register
def run_profile(command: ProfileCommand) -> int:
    """Run the chosen subcommand of `profile`."""
    return run_command(command.command)


@run_command.register
def run_create(command: Create) -> int:
    """Send a new profile, which expects that no revision exists."""
    body = {**parse_fields(command.fields), "expected_revision": 0}
    return send_change(command, "PUT", body)


@run_command.register
def run_change(command: Change) -> int:
    """Send the current profile with the given fields replaced."""
    current = read_profile(command, command.name)
    body = {**current["profile"], **parse_fields(command.fields)}
    body["expected_revision"] = resolve_expected_revision(
        command.expected_revision, current
    )
    return send_change(command, "PUT", body)


@run_command.register
def run_retire(command: Retire) -> int:
    """Send the retirement of the current or the expected revision."""
    current = read_profile(command, command.name)
    body = {
        "expected_revision": resolve_expected_revision(
            command.expected_revision, current
        )
    }
    return send_change(command, "DELETE", body)


@run_command.register
def run_list(command: ListProfiles) -> int:
    """Print every profile."""
    call = InstanceCall("GET", command.address, PROFILES_PATH, token=command.token)
    answer = call_instance(call).body
    if command.json:
        print_json(answer)
        return EXIT_OK
    for record in answer["profiles"]:
        print(format_record(record))
    return EXIT_OK


@run_command.register
def run_show(command: Show) -> int:
    """Print a profile and its rollout; fail if --wait ends with instances missing."""
    record = read_profile(command, command.name)
    rollout = read_rollout(command, command.name, command.wait)
    if command.json:
        print_json({**record, "rollout": rollout})
    else:
        print(format_record(record))
        print_rollout(rollout)
    return EXIT_FAILED if command.wait and rollout["missing"] else EXIT_OK


def send_change(
    command: Create | Change | Retire, method: str, body: dict[str, Any]
) -> int:
    """Send a change and print the accepted revision and its rollout.

    Fails if --wait ends with instances on which the revision is not in force.
    """
    body["change_id"] = command.change_id or uuid.uuid4().hex
    answer = send_with_retries(command, method, body)
    rollout = read_rollout(command, command.name, command.wait)
    if command.json:
        print_json({**answer, "rollout": rollout})
    else:
        print(f"{command.name} accepted at revision {answer['revision']}")
        print_rollout(rollout)
    return EXIT_FAILED if command.wait and rollout["missing"] else EXIT_OK


def send_with_retries(
    command: Create | Change | Retire, method: str, body: dict[str, Any]
) -> dict[str, Any]:
    """Return the response to an accepted change.

    The outcome is unknown if the store's reply was lost or the instance did not answer.
    The change is then sent again with the same change ID, with exponential backoff.
    """
    for attempt in range(MAX_SEND_ATTEMPTS):
        try:
            return send_once(command, method, body)
        except TurmericusherError as error:
            is_outcome_unknown = error.code in {
                ErrorCode.STORE_OUTCOME_UNKNOWN,
                ErrorCode.UPSTREAM_FAILED,
            }
            if not is_outcome_unknown or attempt == MAX_SEND_ATTEMPTS - 1:
                raise
        time.sleep(RETRY_INTERVAL_S * 2**attempt)
    raise AssertionError("unreachable")


def send_once(
    command: Create | Change | Retire, method: str, body: dict[str, Any]
) -> dict[str, Any]:
    """Send a change once and return the response body."""
    path = f"{PROFILES_PATH}/{command.name}"
    if method == "DELETE":
        path += f"?expected_revision={body['expected_revision']}"
        path += f"&change_id={body['change_id']}"
        call = InstanceCall(method, command.address, path, token=command.token)
    else:
        call = InstanceCall(method, command.address, path, command.token, body)
    answer: dict[str, Any] = call_instance(call).body
    return answer


def read_profile(command: Change | Retire | Show, name: str) -> dict[str, Any]:
    """Return the current record of a profile."""
    path = f"{PROFILES_PATH}/{name}"
    call = InstanceCall("GET", command.address, path, token=command.token)
    record: dict[str, Any] = call_instance(call).body
    return record


def read_rollout(
    command: Create | Change | Retire | Show, name: str, wait: bool
) -> dict[str, Any]:
    """Return the instances on which a profile is in force and those still missing.

    With `wait`, polls until none is missing or `WAIT_LIMIT_S` seconds have passed.
    """
    path = f"{PROFILES_PATH}/{name}/rollout"
    call = InstanceCall("GET", command.address, path, token=command.token)
    deadline = time.monotonic() + WAIT_LIMIT_S
    while True:
        rollout: dict[str, Any] = call_instance(call).body
        if not wait or not rollout["missing"] or time.monotonic() >= deadline:
            return rollout
        time.sleep(RETRY_INTERVAL_S)


def resolve_expected_revision(given: int, current: dict[str, Any]) -> int:
    """Return `given`, or the revision of `current` if `given` is negative."""
    return given if given >= 0 else int(current["revision"])


def parse_fields(pairs: list[str]) -> dict[str, Any]:
    """Parse `FIELD=VALUE` pairs; a value that is not JSON is taken as text."""
    fields: dict[str, Any] = {}
    for pair in pairs:
        name, separator, text = pair.partition("=")
        if not separator:
            raise RequestRefusedError(
                ErrorCode.INVALID_REQUEST, f"--set {pair!r}: write it as FIELD=VALUE"
            )
        try:
            fields[name] = orjson.loads(text)
        except orjson.JSONDecodeError:
            fields[name] = text
    return fields


def format_record(record: dict[str, Any]) -> str:
    """Return one line with a profile's name, revision, state and fields."""
    fields = " ".join(
        f"{name}={value}" for name, value in record["profile"].items() if name != "name"
    )
    state = " RETIRED" if record["retired"] else ""
    return f"{record['profile']['name']} revision={record['revision']}{state} {fields}"


def print_rollout(rollout: dict[str, Any]) -> None:
    """Print the number of instances on which a revision is in force, and the others."""
    total = len(rollout["in_force"]) + len(rollout["missing"])
    print(f"in force on {len(rollout['in_force'])} of {total} live instances")
    for instance in rollout["missing"]:
        print(f"missing: {instance['name']} ({instance['failure_domain']})")
