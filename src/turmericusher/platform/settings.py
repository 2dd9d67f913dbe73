"""The platform's settings file: lines of `a.b=value`, lists separated by commas."""

from __future__ import annotations

import os
import random
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import msgspec

from turmericusher.decisions.entry_load.utilization import ResourceLimits
from turmericusher.decisions.held_memory.limits import HeldLimits, make_held_limits
from turmericusher.decisions.retrying.retries import RetryBounds
from turmericusher.decisions.rollouts.orders import RolloutBounds
from turmericusher.errors import SettingsError
from turmericusher.platform.decoding import (
    WireModel,
    check_addresses,
    describe_decoding_error,
)
from turmericusher.platform.names import SETTINGS_VARIABLE
from turmericusher.settings_files import NAME_PATTERN, read_settings_file

MILLISECONDS_PER_S = 1_000.0
BYTES_PER_S_PER_MBIT = 125_000.0
BYTES_PER_MB = 1_000_000.0

MAX_CORES = 1.0
"""Cores that a process can use: its event loop runs in one thread."""

LARGEST_VALUE_BYTES = 1_048_576.0
ROLLOUT_CONTRACT = "rollout"
METRICS_PORT = 9464
"""The port that the deploy file names for metrics; the customary one of exporters."""

NO_LIMITS = ResourceLimits()

Name = Annotated[str, msgspec.Meta(pattern=NAME_PATTERN)]
Positive = Annotated[float, msgspec.Meta(gt=0)]
NotNegative = Annotated[float, msgspec.Meta(ge=0)]


class ListenModel(WireModel, frozen=True):
    """The addresses on which the process listens."""

    frontend: str
    readiness: str
    directory: str | None = None

    def __post_init__(self) -> None:
        """Raise `ValueError` for what is not an address."""
        check_addresses(
            frontend=self.frontend, readiness=self.readiness, directory=self.directory
        )


class BoundsModel(WireModel, frozen=True):
    """The platform's limits, within which this system must keep."""

    grace_s: Positive = 8.0
    retry_budget_ratio: NotNegative = 0.8
    budget_slack: NotNegative = 150.0
    budget_window_s: Positive = 10.0
    ttl_max_s: Positive = 5.0
    configuration_apply_ms: Positive = 2000.0
    exposure_share: NotNegative | None = None
    exposure_slack: NotNegative | None = None
    rollback_ms: Positive | None = None


class StoreModel(WireModel, frozen=True):
    """Where to reach the platform's key-value service."""

    address: str
    value_bytes: Positive = LARGEST_VALUE_BYTES

    def __post_init__(self) -> None:
        """Raise `ValueError` for what is not an address."""
        check_addresses(address=self.address)


class LimitsModel(WireModel, frozen=True):
    """The limits of the machine; without `link_mbps` its link may be slow.

    A process may use `processor_share` of each of the `cores`. The fields from
    `held_mb` on replace defaults that follow from the others.
    """

    link_mbps: Positive | None = None
    memory_mb: Positive | None = None
    file_descriptors: Positive | None = None
    processor_share: Positive | None = None
    cores: Positive | None = None
    held_mb: Positive | None = None
    client_connections: Positive | None = None
    peer_connections: Positive | None = None
    peer_mb: Positive | None = None
    header_bytes: Positive | None = None
    slow_reader_s: Positive | None = None


class NodeModel(WireModel, frozen=True):
    """The whole settings file."""

    node_name: Name
    ip_address: str
    zone: Name
    listen_addresses: ListenModel
    platform: StoreModel
    internal_port_range: str = ""
    contracts: object = ""
    bounds: BoundsModel = BoundsModel()
    limits: LimitsModel = LimitsModel()


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """The settings of one instance on the platform; times are in seconds.

    `retries` bounds the retries of all instances together. `stop_limit_s` is the time
    from the signal to stop until the platform kills the process. An accepted
    configuration change must be in force within `configuration_limit_s`.
    `peer_address` serves other instances; None if no port is free for that.
    `rollouts` bounds roll-outs of upstream versions, None where there are none.
    `link_bytes_per_s` is the speed of the machine's link, None if it is not known, and
    `largest_value_bytes` the size of the largest value in the store. `resources` has
    the limits of this process on its machine. `held` limits what clients make the
    process hold.
    """

    name: str
    failure_domain: str
    caller_address: str
    readiness_address: str
    directory_address: str | None
    metrics_address: str
    store_address: str
    stop_limit_s: float
    retries: RetryBounds
    entrypoint_ttl_limit_s: float
    configuration_limit_s: float
    peer_address: str | None = None
    link_bytes_per_s: float | None = None
    rollouts: RolloutBounds | None = None
    largest_value_bytes: float = LARGEST_VALUE_BYTES
    resources: ResourceLimits = NO_LIMITS
    held: HeldLimits = field(default_factory=make_held_limits)

    def random_for(self, purpose: str) -> random.Random:
        """Return a random number generator seeded by instance name and purpose."""
        return random.Random(f"{self.name}/{purpose}")


def settings_path() -> Path:
    """Return the settings file's path from the environment variable of the platform."""
    value = os.environ.get(SETTINGS_VARIABLE, "")
    if not value:
        raise SettingsError(
            f"environment variable {SETTINGS_VARIABLE}={value!r} does not name a "
            "settings file; set it to the file's path"
        )
    return Path(value)


def load_node_settings(path: Path) -> NodeSettings:
    """Load a settings file; a `SettingsError` names the setting and its value."""
    return parse_node_settings(read_settings_file(path))


def parse_node_settings(text: str) -> NodeSettings:
    """Parse and validate the text of a settings file."""
    values = parse_lines(text)
    try:
        model = msgspec.convert(values, NodeModel, strict=False)
    except msgspec.ValidationError as error:
        message = describe_decoding_error("settings", error, values)
        raise SettingsError(message) from error
    return NodeSettings(
        name=model.node_name,
        failure_domain=model.zone,
        caller_address=model.listen_addresses.frontend,
        readiness_address=model.listen_addresses.readiness,
        directory_address=model.listen_addresses.directory,
        metrics_address=f"{model.ip_address}:{METRICS_PORT}",
        store_address=model.platform.address,
        stop_limit_s=model.bounds.grace_s,
        retries=RetryBounds(
            model.bounds.retry_budget_ratio,
            model.bounds.budget_slack,
            model.bounds.budget_window_s,
        ),
        entrypoint_ttl_limit_s=model.bounds.ttl_max_s,
        configuration_limit_s=model.bounds.configuration_apply_ms / MILLISECONDS_PER_S,
        peer_address=peer_address(model),
        link_bytes_per_s=link_speed(model),
        largest_value_bytes=model.platform.value_bytes,
        rollouts=rollout_bounds(model),
        resources=resource_limits(model),
        held=held_limits(model.limits),
    )


def held_limits(limits: LimitsModel) -> HeldLimits:
    """Return the limits of what clients make the process hold."""
    return make_held_limits(
        limits.memory_mb,
        limits.file_descriptors,
        held_mb=limits.held_mb,
        connections=limits.client_connections,
        peer_connections=limits.peer_connections,
        peer_mb=limits.peer_mb,
        header_bytes=limits.header_bytes,
        slow_reader_s=limits.slow_reader_s,
    )


def rollout_bounds(model: NodeModel) -> RolloutBounds | None:
    """Return the bounds of roll-outs if the settings have them or name the contract."""
    bounds = model.bounds
    named = (bounds.exposure_share, bounds.exposure_slack, bounds.rollback_ms)
    contracts = str(model.contracts).split(",")
    if all(bound is None for bound in named) and not any(
        contract.strip() == ROLLOUT_CONTRACT for contract in contracts
    ):
        return None
    standard = RolloutBounds()
    share, slack = bounds.exposure_share, bounds.exposure_slack
    return RolloutBounds(
        standard.exposure_share if share is None else share,
        standard.exposure_slack if slack is None else slack,
    )


def link_speed(model: NodeModel) -> float | None:
    """Return the bytes per second of the machine's link, or None if not known."""
    mbit_per_s = model.limits.link_mbps
    return None if mbit_per_s is None else BYTES_PER_S_PER_MBIT * mbit_per_s


def resource_limits(model: NodeModel) -> ResourceLimits:
    """Return what this process may use of its machine."""
    limits = model.limits
    cores = None
    if limits.processor_share is not None:
        cores = min(MAX_CORES, limits.processor_share * (limits.cores or 1.0))
    return ResourceLimits(
        processor_cores=cores,
        link_bytes_per_s=link_speed(model),
        memory_bytes=limits.memory_mb and BYTES_PER_MB * limits.memory_mb,
        descriptors=limits.file_descriptors,
    )


def peer_address(model: NodeModel) -> str | None:
    """Return the address at the first internal port, or None if there is none."""
    first_port = model.internal_port_range.partition(",")[0].strip()
    return f"{model.ip_address}:{first_port}" if first_port.isdigit() else None


def parse_lines(text: str) -> dict[str, object]:
    """Parse lines of `a.b=value` into nested dictionaries; values stay strings."""
    tables: dict[str, object] = {}
    for number, line in enumerate(text.splitlines(), start=1):
        if not line.strip():
            continue
        name, separator, value = line.partition("=")
        if not separator:
            raise SettingsError(
                f"settings line {number}={line!r} has no '='; write name=value"
            )
        *parents, leaf = name.strip().split(".")
        table = tables
        for parent in parents:
            subtable = table.setdefault(parent, {})
            if not isinstance(subtable, dict):
                raise SettingsError(
                    f"settings.{name.strip()}={value!r}: {parent!r} already has a "
                    "value; remove one of the two"
                )
            table = subtable
        table[leaf] = value.strip()
    return tables
