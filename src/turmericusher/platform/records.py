"""Converts the platform's stored records and engine messages to internal types."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Annotated, Any, Literal, TypeVar

import msgspec

from turmericusher.decisions.crash_records import (
    CrashRecord,
    LedgerRecord,
    SoundRecord,
    Suspicion,
    TrialRecord,
)
from turmericusher.decisions.fleet import (
    EntryInstance,
    Lifecycle,
    UpstreamInstance,
    UpstreamKind,
)
from turmericusher.decisions.relay_messages import RunTotals, UpstreamReport
from turmericusher.decisions.routing import (
    UNSUPPORTED_ROUTE_RETRY_S,
    RequestKind,
    RequestLimits,
    Route,
    RoutingTable,
    ServiceTraits,
    WeightedService,
    make_routing_table,
)
from turmericusher.logs import log_event
from turmericusher.platform.decoding import (
    WireModel,
    check_addresses,
    decode_json,
    decode_model,
    parse_or_log,
)
from turmericusher.platform.names import (
    CONFIGURATION_KEY,
    CRASH_PREFIX,
    INSTANCE_PREFIX,
    SOUND_PREFIX,
    STREAM_PREFIX,
    TRIAL_PREFIX,
    UPSTREAM_PREFIX,
    VERSIONS_PREFIX,
)
from turmericusher.platform.settings import (
    BYTES_PER_S_PER_MBIT,
    MILLISECONDS_PER_S,
)
from turmericusher.platform.version_records import VersionRecordCodec
from turmericusher.profiles import (
    LEAST_URGENT,
    MOST_URGENT,
    NORMAL_URGENCY,
)
from turmericusher.tasks.relay_fleet import (
    ConfigurationRecord,
    InstanceRecord,
    Record,
    UpstreamRecord,
)

Number = int | float

MAX_COUNT = 2**53
"""Largest number of anything that is counted: beyond it, a float is not exact, and far
beyond, none at all."""

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
Amount = (
    Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
    | Annotated[float, msgspec.Meta(ge=0.0, le=float(MAX_COUNT))]
)
ReportedRun = tuple[str, Number, Count, Number]
Model = TypeVar("Model", bound=WireModel)
N = TypeVar("N", int, float)


class SplitModel(WireModel, frozen=True):
    """One service that a route's traffic is split to, and its weight."""

    service: str
    weight: Number


class RouteModel(WireModel, frozen=True):
    """One route; exactly one of `service` and `traffic_split` is set.

    Times are in milliseconds. `target_latency_ms` is the target for the answer, or for
    the first event of a stream; `target_gap_ms` is the pause between two events that
    callers accept. `session_affinity` is not checked: only whether it is set counts.
    """

    name: str
    host: str
    prefix: str
    kind: Literal["idempotent", "non_idempotent", "streaming"]
    timeout_ms: Number
    target_latency_ms: Number = 1_000
    target_gap_ms: Number = 1_000
    service: str | None = None
    traffic_split: tuple[SplitModel, ...] = ()
    max_attempts: int = 1
    public_access: bool = False
    stream_resumption: bool = False
    session_affinity: Any = False
    priority: int = NORMAL_URGENCY


class RoutePlaceModel(WireModel, frozen=True):
    """Where a route stands that cannot be read in full."""

    host: str
    prefix: str
    name: str = ""


class EngineModel(WireModel, frozen=True):
    """Capabilities of a service's model engines.

    `slots` is the number of requests that one engine runs at once, None if unknown.
    `backups`: they hold standby copies of other engines' KV caches. `moves`: they copy
    the KV cache of a running request to another engine; despite the field's name, the
    request keeps running where it is. `cache_token_bytes` and `link_mbps`, the bytes of
    a token's KV cache and the speed between engines, count only if both are valid.
    """

    slots: int | None = None
    backups: bool = False
    moves: bool = False
    cache_token_bytes: Any = None
    link_mbps: Any = None


class ServiceModel(WireModel, frozen=True):
    """One service; `engine` is None if its upstreams are not model engines."""

    name: str
    engine: EngineModel | None = None


class LimitsModel(WireModel, frozen=True):
    """Limits on what callers may send."""

    max_body_bytes: int = 4_194_304
    max_header_bytes: int = 16_384


class TeamModel(WireModel, frozen=True):
    """One team and its access keys; its `priority` takes precedence over a route's."""

    name: str
    access_keys: tuple[str, ...] = ()
    priority: int | None = None


class ConfigurationModel(WireModel, frozen=True):
    """A whole configuration, as stored under `CONFIGURATION_KEY`.

    Its entries are decoded one by one, so that one of a kind not known here leaves the
    others in force. `tenants` is None if the deployment has no teams.
    """

    version: int
    routes: tuple[msgspec.Raw, ...]
    services: tuple[msgspec.Raw, ...] = ()
    limits: LimitsModel = LimitsModel()
    tenants: tuple[msgspec.Raw, ...] | None = None


class UpstreamModel(WireModel, frozen=True):
    """An upstream's entry in the store, written by the upstream itself.

    `born` is the Unix time of its start in milliseconds. It tells two incarnations of
    an upstream with the same name apart. `sequence` rises with each entry that an
    incarnation writes. `slots` is validated but not used.
    """

    service: str
    address: str
    zone: str
    version: str
    slots: Annotated[int, msgspec.Meta(gt=0)]
    state: Literal["ready", "draining"]
    sequence: int
    born: int | None = None

    def __post_init__(self) -> None:
        """Raise `ValueError` for what is not an address."""
        check_addresses(address=self.address)


class ReportModel(WireModel, frozen=True):
    """An engine's report of its load.

    `cache_used` and `cache_total` are in tokens; `cache_used` is memory that cannot be
    freed. `active_requests` includes requests in prefill; `runs` does not. Each row of
    `runs` holds a request's id, its tokens in memory, the number of events that it has
    produced, and its priority. `born` is the Unix time of the engine's start in
    milliseconds.
    """

    active_requests: Count
    waiting: Count
    cache_used: Amount
    cache_total: Amount
    born: int | None = None
    runs: tuple[ReportedRun, ...] = ()


class CopyModel(WireModel, frozen=True):
    """An engine's response to a request to copy a KV cache."""

    handle: str


class InstanceModel(WireModel, frozen=True):
    """The record under which an entry instance registers itself.

    Without a `peer_address` it serves no other instances. A malformed `utilization` or
    `caller_share` counts as none: the instance may serve all the same.
    """

    address: str
    failure_domain: str
    incarnation: str
    peer_address: str | None = None
    limited_upstreams: frozenset[str] = frozenset()
    unreachable_services: frozenset[str] = frozenset()
    utilization: Any = None
    caller_share: Any = None

    def __post_init__(self) -> None:
        """Raise `ValueError` for what is not an address."""
        check_addresses(address=self.address, peer_address=self.peer_address)


class CrashModel(WireModel, frozen=True):
    """The death of an upstream.

    `chains` has the traits of each suspected request, with their ranks and trials.
    """

    upstream: str
    incarnation: str
    chains: tuple[tuple[tuple[str, int, int], ...], ...]
    at: float | None = None


class SoundModel(WireModel, frozen=True):
    """A trait of a request that ran well, and the deaths that it did not cause."""

    trait: str
    deaths: frozenset[str]


class TrialModel(WireModel, frozen=True):
    """The last trial of a blocked trait; `number` counts them."""

    trait: str
    number: int
    at: float | None = None


def decode_record(key: str, value: bytes | None) -> Record | None:
    """Return the record stored under a key; None if the key is not of a known kind.

    The record is empty if the key was deleted (`value` is None) or cannot be decoded.
    """
    if key == CONFIGURATION_KEY:
        table = decode_configuration(value) if value is not None else None
        return ConfigurationRecord(table)
    if key.startswith(UPSTREAM_PREFIX):
        return decode_upstream_record(key.removeprefix(UPSTREAM_PREFIX), value)
    if key.startswith(INSTANCE_PREFIX):
        name = key.removeprefix(INSTANCE_PREFIX)
        instance = decode_instance(name, value) if value is not None else None
        return InstanceRecord(name, instance)
    if value is None:
        return None
    if key.startswith((STREAM_PREFIX, VERSIONS_PREFIX)):
        return VersionRecordCodec().decode(key, value)
    return CrashRecordCodec().decode(key, value)


def decode_configuration(value: bytes) -> RoutingTable | None:
    """Return the routing table of a configuration, or None if it is invalid."""
    model = parse_or_log(ConfigurationModel, value, "configuration_unreadable")
    if model is None:
        return None
    routes = [decode_route(data) for data in model.routes]
    services = parse_each(ServiceModel, model.services, "service_unreadable")
    teams = None
    if model.tenants is not None:
        teams = parse_each(TeamModel, model.tenants, "team_unreadable")
    return make_routing_table(
        version=model.version,
        routes=[route for route in routes if route is not None],
        services=[decode_service(service) for service in services],
        team_by_key=teams_by_key(teams),
        limits=RequestLimits(
            model.limits.max_body_bytes, model.limits.max_header_bytes
        ),
        team_urgency=team_urgencies(teams),
    )


def parse_each(
    model: type[Model], entries: Iterable[msgspec.Raw], event: str
) -> list[Model]:
    """Parse entries of a configuration; those that are invalid are logged."""
    parsed = (parse_or_log(model, bytes(entry), event) for entry in entries)
    return [each for each in parsed if each is not None]


def teams_by_key(teams: list[TeamModel] | None) -> dict[str, str] | None:
    """Return the team of each access key, or None if the deployment has no teams."""
    if teams is None:
        return None
    return {key: team.name for team in teams for key in team.access_keys}


def team_urgencies(teams: list[TeamModel] | None) -> dict[str, int]:
    """Return the urgency of each team that sets a priority of its own."""
    return {
        team.name: clamp_urgency(team.priority)
        for team in teams or ()
        if team.priority is not None
    }


def clamp_urgency(priority: N) -> N | int:
    """Clamp a priority to the range of urgencies; the platform does not bound it."""
    return min(max(priority, MOST_URGENT), LEAST_URGENT)


def decode_route(data: msgspec.Raw) -> Route | None:
    """Return a configuration's route, or None if not even its place can be read.

    One that cannot be read in full has no services, and so refuses its requests.
    """
    model = parse_or_log(RouteModel, bytes(data), "route_unreadable")
    if model is not None:
        return route_from_model(model)
    place = parse_or_log(RoutePlaceModel, bytes(data), "route_dropped")
    if place is None:
        return None
    return Route(
        name=place.name,
        host=place.host.lower(),
        prefix=place.prefix,
        kind=RequestKind.NON_IDEMPOTENT,
        services=(),
        timeout_s=UNSUPPORTED_ROUTE_RETRY_S,
        target_latency_s=UNSUPPORTED_ROUTE_RETRY_S,
        needs_team=False,
    )


def route_from_model(model: RouteModel) -> Route:
    """Return the route that a model describes, with times in seconds."""
    if model.service is not None:
        services: tuple[WeightedService, ...] = (WeightedService(model.service, 1.0),)
    else:
        services = tuple(
            WeightedService(split.service, float(split.weight))
            for split in model.traffic_split
        )
    return Route(
        name=model.name,
        host=model.host.lower(),
        prefix=model.prefix,
        kind=request_kind(model),
        services=services,
        timeout_s=model.timeout_ms / MILLISECONDS_PER_S,
        target_latency_s=model.target_latency_ms / MILLISECONDS_PER_S,
        longest_gap_s=model.target_gap_ms / MILLISECONDS_PER_S,
        max_attempts=max(1, model.max_attempts),
        needs_team=not model.public_access,
        urgency=clamp_urgency(model.priority),
        session_affinity=bool(model.session_affinity),
    )


def request_kind(model: RouteModel) -> RequestKind:
    """Return a route's kind, by which failed attempts are repeated or resumed."""
    if model.kind != "streaming":
        return RequestKind(model.kind)
    if model.stream_resumption:
        return RequestKind.RESUMABLE_STREAM
    return RequestKind.STREAM


def decode_service(model: ServiceModel) -> ServiceTraits:
    """Return a service's traits; only model engines report their load."""
    if model.engine is None:
        return ServiceTraits(model.name)
    return ServiceTraits(
        model.name,
        model.engine.slots,
        model.engine.backups,
        reports_load=True,
        moves_copies=model.engine.moves,
        fetch_token_s=fetch_token_s(model.engine),
    )


def fetch_token_s(model: EngineModel) -> float | None:
    """Return the seconds in which an engine fetches a token, None if not known."""
    size, speed = model.cache_token_bytes, model.link_mbps
    for value in (size, speed):
        if not isinstance(value, int | float) or not 0 < value <= MAX_COUNT:
            return None
    return float(size / (speed * BYTES_PER_S_PER_MBIT))


def decode_upstream_record(name: str, value: bytes | None) -> UpstreamRecord:
    """Return an upstream's entry, without the upstream if that is invalid or gone."""
    if value is None:
        return UpstreamRecord(name, None)
    if not (name.isascii() and name.isprintable()):
        # Requests name their upstream in a header.
        log_event("upstream_entry_dropped", upstream=ascii(name), reason="its name")
        return UpstreamRecord(name, None)
    model = parse_or_log(UpstreamModel, value, "upstream_entry_dropped", upstream=name)
    if model is None:
        return UpstreamRecord(name, None)
    return UpstreamRecord(name, upstream_from_model(name, model), model.sequence)


def upstream_from_model(name: str, model: UpstreamModel) -> UpstreamInstance:
    """Return the upstream that an entry describes."""
    return UpstreamInstance(
        name=name,
        service=model.service,
        kind=UpstreamKind.SERVICE,
        address=model.address,
        failure_domain=model.zone,
        incarnation=incarnation_from_start(model.born),
        version=model.version,
        lifecycle=Lifecycle.LIVE if model.state == "ready" else Lifecycle.LEAVING,
    )


def incarnation_from_start(born: int | None) -> str:
    """Return an upstream's incarnation: the time of its start, empty if unknown."""
    return "" if born is None else str(born)


def decode_report(value: bytes) -> UpstreamReport:
    """Return an engine's load report; raise `ValueError` if it is invalid."""
    model = decode_model(ReportModel, value)
    return UpstreamReport(
        incarnation=incarnation_from_start(model.born),
        running=model.active_requests,
        waiting=model.waiting,
        memory_used=int(model.cache_used),
        memory_total=int(model.cache_total),
        events_made={run[0]: run[2] for run in model.runs},
        runs_by_urgency=total_runs(model.runs),
    )


def total_runs(rows: Iterable[ReportedRun]) -> dict[int, RunTotals]:
    """Return the count of runs and their tokens by urgency; numbers are clamped."""
    totals: dict[int, RunTotals] = {}
    for _name, tokens, _events, priority in rows:
        urgency = int(clamp_urgency(priority))
        known = totals.get(urgency, RunTotals())
        held = int(min(max(tokens, 0), MAX_COUNT))
        totals[urgency] = RunTotals(known.count + 1, known.tokens + held)
    return totals


def encode_report(report: UpstreamReport) -> bytes:
    """Return a load report in the form in which an engine sends it.

    `UpstreamReport` has neither the tokens nor the priority of a run: placeholders are
    written for them, 0 and 5, the priority that engines assume where none is given.
    """
    return msgspec.json.encode(
        {
            "born": int(report.incarnation) if report.incarnation else None,
            "active_requests": report.running,
            "waiting": report.waiting,
            "cache_used": report.memory_used,
            "cache_total": report.memory_total,
            "runs": [
                [name, 0, event_count, 5]
                for name, event_count in report.events_made.items()
            ],
        }
    )


def encode_copy_request(
    request_id: str, target_address: str, is_last: bool = False
) -> bytes:
    """Return the body of a request to copy a running request's KV cache.

    The last copy has the run stopped first.
    """
    fields = {"identifier": request_id, "target": target_address}
    return msgspec.json.encode(fields | ({"last": True} if is_last else {}))


def decode_copy_request(value: bytes) -> tuple[str, str]:
    """Return the request id and the target's address of a request to copy."""
    body = decode_json(value)
    return body["identifier"], body["target"]


def is_last_copy(value: bytes) -> bool:
    """Whether a request to copy has the run stopped first."""
    return bool(decode_json(value).get("last", False))


def decode_copy_handle(value: bytes) -> str:
    """Return the handle of a new copy; raise `ValueError` if the body is invalid."""
    return decode_model(CopyModel, value).handle


def encode_copy_handle(handle: str, events_made: int = 0) -> bytes:
    """Return an engine's response to a request to copy."""
    return msgspec.json.encode({"handle": handle, "created": events_made})


def decode_instance(name: str, value: bytes) -> EntryInstance | None:
    """Return the entry instance of a record, or None if the record is invalid."""
    model = parse_or_log(InstanceModel, value, "instance_entry_dropped", instance=name)
    if model is None:
        return None
    return EntryInstance(
        name=name,
        failure_domain=model.failure_domain,
        caller_address=model.address,
        peer_address=model.peer_address or model.address,
        incarnation=model.incarnation,
        limited_upstreams=model.limited_upstreams,
        unreachable_services=model.unreachable_services,
        utilization=decode_utilization(model.utilization),
        caller_share=decode_caller_share(model.caller_share),
    )


def decode_utilization(value: Any) -> tuple[tuple[str, float], ...]:
    """Return the shares in use by resource; malformed ones are left out."""
    if not isinstance(value, dict):
        return ()
    return tuple(sorted((name, float(x)) for name, x in value.items() if is_share(x)))


def decode_caller_share(value: Any) -> float:
    """Return an instance's share of callers; 1 if it states no valid one."""
    return float(value) if is_share(value) and value > 0 else 1.0


def is_share(value: Any) -> bool:
    """Whether a JSON value is a number from 0 to 1."""
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return is_number and 0 <= value <= 1


def encode_instance(instance: EntryInstance) -> bytes:
    """Return the record under which an entry instance registers itself.

    An instance that is not pressed states neither its utilization nor its share.
    """
    record: dict[str, object] = {
        "address": instance.caller_address,
        "peer_address": instance.peer_address,
        "failure_domain": instance.failure_domain,
        "incarnation": instance.incarnation,
        "limited_upstreams": sorted(instance.limited_upstreams),
        "unreachable_services": sorted(instance.unreachable_services),
    }
    if instance.utilization:
        record["utilization"] = dict(instance.utilization)
    if instance.caller_share != 1.0:
        record["caller_share"] = instance.caller_share
    return msgspec.json.encode(record)


class CrashRecordCodec:
    """Translates records of crashes to and from the store's keys and values."""

    def encode(self, record: LedgerRecord) -> tuple[str, bytes]:
        """Return the key and the value of a record."""
        if isinstance(record, SoundRecord):
            sound = {"trait": record.trait, "deaths": sorted(record.deaths)}
            return f"{SOUND_PREFIX}{record.trait}", msgspec.json.encode(sound)
        if isinstance(record, TrialRecord):
            trial = {"trait": record.trait, "number": record.number, "at": record.at}
            return f"{TRIAL_PREFIX}{record.trait}", msgspec.json.encode(trial)
        chains = [
            [(s.trait, s.rank, s.trials) for s in chain] for chain in record.chains
        ]
        crash = {
            "upstream": record.upstream,
            "incarnation": record.incarnation,
            "chains": sorted(chains),
            "at": record.at,
        }
        return f"{CRASH_PREFIX}{record.death}", msgspec.json.encode(crash)

    def decode(self, key: str, value: bytes) -> LedgerRecord | None:
        """Return the record of a key; None if it is of another kind, or invalid."""
        if key.startswith(SOUND_PREFIX):
            sound = parse_or_log(SoundModel, value, "crash_record_dropped", key=key)
            return SoundRecord(sound.trait, sound.deaths) if sound else None
        if key.startswith(TRIAL_PREFIX):
            trial = parse_or_log(TrialModel, value, "crash_record_dropped", key=key)
            return TrialRecord(trial.trait, trial.number, trial.at) if trial else None
        if not key.startswith(CRASH_PREFIX):
            return None
        model = parse_or_log(CrashModel, value, "crash_record_dropped", key=key)
        if model is None:
            return None
        chains = frozenset(
            tuple(Suspicion(*suspicion) for suspicion in chain)
            for chain in model.chains
        )
        return CrashRecord(model.upstream, model.incarnation, chains, model.at)
