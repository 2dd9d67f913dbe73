"""Settings: a YAML file is validated and becomes an immutable data class."""

from __future__ import annotations

import enum
import random
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import yaml
from pydantic import AfterValidator, BaseModel, ConfigDict, Field, ValidationError

from turmericusher.decisions.fleet import UpstreamKind
from turmericusher.decisions.held_memory.limits import HeldLimits, make_held_limits
from turmericusher.errors import SettingsError
from turmericusher.settings_files import (
    NAME_PATTERN,
    check_address,
    read_settings_file,
)
from turmericusher.validation import describe_validation_error


class CallerIdentity(enum.StrEnum):
    """How the team of a caller is determined."""

    HEADER = "header"
    TOKEN = "token"


Address = Annotated[str, AfterValidator(check_address)]
Name = Annotated[str, Field(pattern=NAME_PATTERN)]


class StrictModel(BaseModel):
    """Base of the models that validate input; unknown keys are refused."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class InstanceModel(StrictModel):
    """The `instance` section."""

    name: Name
    failure_domain: Name
    caller_address: Address
    peer_address: Address


class StoreModel(StrictModel):
    """The `store` section."""

    url: str = Field(pattern=r"^http://")
    prefix: str = Field(default="/turmericusher/", pattern=r"^/.*/$")
    timeout_s: float = Field(default=1.0, gt=0, le=60)


class ServiceModel(StrictModel):
    """One entry of `services`."""

    name: Name
    kind: UpstreamKind
    models: tuple[str, ...] = ()
    default_profile: Name = "default"
    capacity_per_upstream: int = Field(default=16, ge=1, le=100_000)
    minimum_upstreams: int = Field(default=1, ge=0)
    checks_fencing: bool = False


class CallersModel(StrictModel):
    """The `callers` section."""

    identify_by: CallerIdentity = CallerIdentity.HEADER
    tokens: dict[str, Name] = {}
    max_body_bytes: int = Field(default=4_000_000, ge=1024)


class OperatorsModel(StrictModel):
    """The `operators` section."""

    token: str = Field(min_length=8)


class MetricsModel(StrictModel):
    """The `metrics` section."""

    statsd_address: Address | None = None
    text_address: Address | None = None
    prefix: str = "turmericusher"


class StopModel(StrictModel):
    """The `stop` section."""

    drain_limit_s: float = Field(default=60.0, gt=0)


PositiveNumber = Annotated[float, Field(gt=0)]


class LimitsModel(StrictModel):
    """The `limits` section: the machine, and limits that replace defaults."""

    memory_mb: PositiveNumber | None = None
    file_descriptors: PositiveNumber | None = None
    held_mb: PositiveNumber | None = None
    client_connections: PositiveNumber | None = None
    header_bytes: PositiveNumber | None = None
    slow_reader_s: PositiveNumber | None = None
    peer_connections: PositiveNumber | None = None
    peer_mb: PositiveNumber | None = None


class SettingsModel(StrictModel):
    """The whole settings file."""

    instance: InstanceModel
    store: StoreModel
    instance_list_url: str = Field(pattern=r"^http://")
    weight_store_url: str | None = None
    services: tuple[ServiceModel, ...] = Field(min_length=1)
    callers: CallersModel = CallersModel()
    operators: OperatorsModel
    metrics: MetricsModel = MetricsModel()
    stop: StopModel = StopModel()
    limits: LimitsModel = LimitsModel()
    entrypoint_ttl_s: float = Field(default=5.0, gt=0, le=300)
    stale_after_s: float = Field(default=10.0, gt=0, le=15)
    claim_retention_s: float = Field(default=3_600.0, gt=0)
    clock_skew_s: float = Field(default=5.0, ge=0)
    peer_seeds: tuple[Address, ...] = ()
    seed: int = 0


@dataclass(frozen=True, slots=True)
class Service:
    """A named group of upstreams.

    `models` are the models that its engines serve; it is empty for a plain service.
    `default_profile` applies to requests that name no profile.
    `capacity_per_upstream` is the number of requests that an upstream runs at once.
    `minimum_upstreams` is the number that must stay ready while an order changes the
    model, version, adapters or role of another one.
    `checks_fencing`: whether its upstreams refuse requests with an old fencing number.
    """

    name: str
    kind: UpstreamKind
    models: tuple[str, ...]
    default_profile: str
    capacity_per_upstream: int
    minimum_upstreams: int
    checks_fencing: bool


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of one entry instance.

    `name` is unique among the entry instances.
    `failure_domain` is the failure domain in which the instance runs.
    `caller_address`, `peer_address`: the `ip:port` on which it listens for callers and
    for peers.
    `store_url`, `store_prefix`, `store_timeout_s`: the key-value service.
    `instance_list_url`: the platform's list of upstreams, in the format of Prometheus's
    HTTP service discovery.
    `weight_store_url`: the platform's weight store; None if this instance carries out
    no orders.
    `identify_by`, `caller_tokens`: how a caller's team is determined, and the team of
    each bearer token.
    `max_body_bytes`: the largest request body accepted.
    `operator_token`: the bearer token for the operators' routes.
    `statsd_address`: where statsd metrics go; None sends none.
    `metrics_prefix`: the prefix of the names of statsd metrics.
    `metrics_address`: where metrics are served as text; None serves none.
    `drain_limit_s`: seconds that a stopping instance waits before it hands its
    generations over.
    `entrypoint_ttl_s`: seconds for which callers may cache the entry points.
    `stale_after_s`: new work is refused once the last confirmation of the configuration
    is this many seconds old.
    `claim_retention_s`: seconds for which the outcome of an idempotency key is kept.
    `clock_skew_s`: the largest tolerated difference, in seconds, between the clocks of
    callers and instances.
    `peer_seeds`: the peer addresses contacted first; peers report the others.
    `seed`: with `name`, the seed of every random choice of this instance.
    `held`: the limits of what clients make the process hold.
    """

    name: str
    failure_domain: str
    caller_address: str
    peer_address: str
    store_url: str
    store_prefix: str
    store_timeout_s: float
    instance_list_url: str
    weight_store_url: str | None
    services: tuple[Service, ...]
    identify_by: CallerIdentity
    caller_tokens: dict[str, str]
    max_body_bytes: int
    operator_token: str
    statsd_address: str | None
    metrics_prefix: str
    metrics_address: str | None
    drain_limit_s: float
    entrypoint_ttl_s: float
    stale_after_s: float
    claim_retention_s: float
    clock_skew_s: float
    peer_seeds: tuple[str, ...]
    seed: int
    held: HeldLimits = field(default_factory=make_held_limits)

    def random_for(self, purpose: str) -> random.Random:
        """Return a random number generator for one purpose.

        Its seed includes the name: instances whose settings differ only in their names
        would otherwise make the same choices at the same time, and send all their
        requests to the same upstream.
        """
        return random.Random(f"{self.seed}/{self.name}/{purpose}")


def load_settings(path: Path) -> Settings:
    """Load a settings file; raise `SettingsError` naming a setting and its value."""
    return parse_settings(read_settings_file(path))


def parse_settings(text: str) -> Settings:
    """Validate the text of a settings file; raise `SettingsError` if it is invalid."""
    try:
        mapping = yaml.safe_load(text)
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        # The loader raises ValueError itself, for example for a date in month 13.
        line = str(error).replace("\n", " ")
        raise SettingsError(f"settings are not valid YAML: {line}") from error
    try:
        model = SettingsModel.model_validate(mapping)
    except ValidationError as error:
        raise SettingsError(describe_validation_error("settings", error)) from error
    return settings_from_model(model)


def settings_from_model(model: SettingsModel) -> Settings:
    """Return the settings of a validated file."""
    check_duplicates(model.services)
    return Settings(
        name=model.instance.name,
        failure_domain=model.instance.failure_domain,
        caller_address=model.instance.caller_address,
        peer_address=model.instance.peer_address,
        store_url=model.store.url.rstrip("/"),
        store_prefix=model.store.prefix,
        store_timeout_s=model.store.timeout_s,
        instance_list_url=model.instance_list_url,
        weight_store_url=model.weight_store_url,
        services=tuple(Service(**entry.model_dump()) for entry in model.services),
        identify_by=model.callers.identify_by,
        caller_tokens=dict(model.callers.tokens),
        max_body_bytes=model.callers.max_body_bytes,
        operator_token=model.operators.token,
        statsd_address=model.metrics.statsd_address,
        metrics_prefix=model.metrics.prefix,
        metrics_address=model.metrics.text_address,
        drain_limit_s=model.stop.drain_limit_s,
        entrypoint_ttl_s=model.entrypoint_ttl_s,
        stale_after_s=model.stale_after_s,
        claim_retention_s=model.claim_retention_s,
        clock_skew_s=model.clock_skew_s,
        peer_seeds=model.peer_seeds,
        seed=model.seed,
        held=held_limits(model.limits),
    )


def held_limits(limits: LimitsModel) -> HeldLimits:
    """Return the limits of what clients make the process hold."""
    return make_held_limits(
        limits.memory_mb,
        limits.file_descriptors,
        held_mb=limits.held_mb,
        connections=limits.client_connections,
        header_bytes=limits.header_bytes,
        slow_reader_s=limits.slow_reader_s,
        peer_connections=limits.peer_connections,
        peer_mb=limits.peer_mb,
    )


def check_duplicates(services: tuple[ServiceModel, ...]) -> None:
    """Refuse a service name used twice and a model served by two services."""
    names: set[str] = set()
    models: set[str] = set()
    for service in services:
        if service.name in names:
            raise SettingsError(
                f"settings.services: name={service.name!r} is used twice; rename one"
            )
        names.add(service.name)
        for model in service.models:
            if model in models:
                raise SettingsError(
                    f"settings.services: model={model!r} is served by two services; "
                    "remove it from one"
                )
            models.add(model)
