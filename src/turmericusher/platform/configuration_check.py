"""Checks a configuration as operators write it: translates it and names the places."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from turmericusher.decisions.configuration_check.checks import find_all
from turmericusher.decisions.configuration_check.contents import (
    CheckedConfiguration,
    CheckedLimits,
    CheckedRoute,
    CheckedTeam,
    Entry,
    Hidden,
    Settings,
)
from turmericusher.decisions.configuration_check.findings import (
    Code,
    Field,
    Place,
    Section,
    Severity,
)
from turmericusher.decisions.retrying.retries import RetryBounds
from turmericusher.decisions.routing import WeightedService
from turmericusher.errors import ErrorCode, RequestRefusedError
from turmericusher.platform.decoding import WireModel, decode_json
from turmericusher.platform.model_problems import (
    Problem,
    decode_or_none,
    find_problems,
    read_fields,
)
from turmericusher.platform.records import (
    ConfigurationModel,
    EngineModel,
    LimitsModel,
    Number,
    RouteModel,
    ServiceModel,
    TeamModel,
    fetch_token_s,
)
from turmericusher.platform.settings import MILLISECONDS_PER_S, BoundsModel

SECRET_FIELDS = frozenset({"access_keys", "tenants"})
"""Fields whose invalid values may hold keys, and so are not printed."""

SHOWN_TEAM_FIELDS = frozenset({"name", "priority"})
"""Fields of a team that may be printed; a misspelled one may hold keys."""

SECTION_NAMES = {
    Section.WHOLE: "",
    Section.ROUTES: "routes",
    Section.SERVICES: "services",
    Section.TEAMS: "tenants",
    Section.LIMITS: "limits",
}
FIELD_NAMES = {
    Field.SHARES: "traffic_split",
    Field.TIMEOUT: "timeout_ms",
    Field.TARGET_LATENCY: "target_latency_ms",
    Field.LONGEST_GAP: "target_gap_ms",
    Field.URGENCY: "priority",
    Field.KEYS: "access_keys",
    Field.HEADER_BYTES: "max_header_bytes",
    Field.BODY_BYTES: "max_body_bytes",
    Field.HEADER_TIMEOUT: "header_timeout_ms",
    Field.IDLE_TIMEOUT: "idle_timeout_ms",
}
"""The platform's names of fields, where they differ from those of the decisions."""


class AllLimitsModel(LimitsModel, frozen=True):
    """The limits, with the two that this system reads for this check only."""

    header_timeout_ms: Number = 3_000
    idle_timeout_ms: Number = 15_000


@dataclass(frozen=True, slots=True)
class ReportedFinding:
    """A finding with its place as operators write it, such as `routes[2].kind`."""

    severity: Severity
    code: Code
    place: str
    message: str


@dataclass(slots=True)
class Reading:
    """Reads the entries of a configuration and keeps the problems found."""

    problems: list[Problem] = field(default_factory=list)

    def read(
        self, model: type[WireModel], value: bytes, place: str
    ) -> tuple[dict[str, Any], Settings]:
        """Return the valid fields of an entry, and all of them for a comparison."""
        problems = list(find_problems(model, value, place, SECRET_FIELDS))
        self.problems += problems
        values, _ = read_fields(model, value, place, SECRET_FIELDS)
        contents = decode_or_none(dict[str, Any], value) or {}
        return values, decode_json(msgspec.json.encode(values)) | contents


def check_configuration(
    value: bytes, in_force: bytes | None = None
) -> list[ReportedFinding]:
    """Return the findings on a configuration, the most serious first.

    With `in_force`, what differs from that configuration is reported too; raise
    `RequestRefusedError` if it cannot be read. The retry budget is that of settings
    files that do not state one.
    """
    reading = Reading()
    configuration = read_configuration(value, reading)
    found = [
        ReportedFinding(Severity.ERROR, problem.code, problem.place, problem.message)
        for problem in reading.problems
    ]
    if configuration is None:
        return found
    known = None
    if in_force is not None:
        known = read_configuration(in_force, Reading())
        if known is None:
            raise RequestRefusedError(
                ErrorCode.INVALID_REQUEST,
                "the configuration in force is not a JSON object; compare with the "
                "text of a configuration",
            )
    bounds = BoundsModel()
    budget = RetryBounds(
        bounds.retry_budget_ratio, bounds.budget_slack, bounds.budget_window_s
    )
    found += [
        ReportedFinding(each.severity, each.code, place_name(each.place), each.message)
        for each in find_all(configuration, budget, known)
    ]
    return sorted(found, key=lambda each: list(Severity).index(each.severity))


def place_name(place: Place) -> str:
    """Return a place as operators write it."""
    name = SECTION_NAMES[place.section]
    if place.index is not None:
        name += f"[{place.index}]"
    if place.field is not Field.NONE:
        name += f".{FIELD_NAMES.get(place.field, place.field.value)}"
    if place.item is not None:
        name += f"[{place.item}]"
    return name.removeprefix(".")


def read_configuration(value: bytes, reading: Reading) -> CheckedConfiguration | None:
    """Return a configuration's contents, or None if it is not a JSON object."""
    try:
        decode_json(value)
    except ValueError as error:
        message = f"not valid JSON: {error}; correct it"
        reading.problems.append(Problem(Code.UNREADABLE, "", message))
        return None
    texts = decode_or_none(dict[str, msgspec.Raw], value)
    if texts is None:
        message = "not a JSON object; begin with the fields version and routes"
        reading.problems.append(Problem(Code.UNREADABLE, "", message))
        return None
    limits = bytes(texts.pop("limits", b"{}"))
    fields, problems = read_fields(
        ConfigurationModel, msgspec.json.encode(texts), "", SECRET_FIELDS
    )
    reading.problems += problems
    teams = fields.get("tenants")
    return CheckedConfiguration(
        version=fields.get("version"),
        routes=tuple(
            read_route(index, bytes(entry), reading)
            for index, entry in enumerate(fields.get("routes", ()))
        ),
        services=tuple(
            read_service(index, bytes(entry), reading)
            for index, entry in enumerate(fields.get("services", ()))
        ),
        teams=None
        if teams is None
        else tuple(
            read_team(index, bytes(entry), reading) for index, entry in enumerate(teams)
        ),
        limits=read_limits(limits, reading),
    )


def read_route(index: int, value: bytes, reading: Reading) -> CheckedRoute:
    """Return one route; its times become seconds."""
    fields, settings = reading.read(RouteModel, value, f"routes[{index}]")
    splits = fields.get("traffic_split")
    return CheckedRoute(
        Section.ROUTES,
        index,
        fields.get("name"),
        settings,
        host=fields.get("host"),
        prefix=fields.get("prefix"),
        is_stream=fields.get("kind") == "streaming",
        service=fields.get("service"),
        shares=None if splits is None else weighted_services(splits),
        are_services_readable="service" in fields and splits is not None,
        timeout_s=seconds(fields.get("timeout_ms")),
        target_latency_s=seconds(fields.get("target_latency_ms")),
        longest_gap_s=seconds(fields.get("target_gap_ms")),
        max_attempts=fields.get("max_attempts"),
        urgency=fields.get("priority"),
        needs_team=not fields.get("public_access", True),
    )


def weighted_services(splits: Iterable[Any]) -> tuple[WeightedService, ...]:
    """Return the services that a route's traffic is split to."""
    return tuple(WeightedService(split.service, split.weight) for split in splits)


def read_service(index: int, value: bytes, reading: Reading) -> Entry:
    """Return one service; the figures of a fetch count only if both are valid."""
    place = f"services[{index}]"
    fields, settings = reading.read(ServiceModel, value, place)
    engine: EngineModel | None = fields.get("engine")
    if engine is not None:
        figures = (engine.cache_token_bytes, engine.link_mbps)
        if figures != (None, None) and fetch_token_s(engine) is None:
            message = (
                f"cache_token_bytes={figures[0]!r} and link_mbps={figures[1]!r} do not "
                "count; set both to positive numbers, or neither"
            )
            problem = Problem(Code.INVALID_FIELD, f"{place}.engine", message)
            reading.problems.append(problem)
    return Entry(Section.SERVICES, index, fields.get("name"), settings)


def read_team(index: int, value: bytes, reading: Reading) -> CheckedTeam:
    """Return one team."""
    fields, settings = reading.read(TeamModel, value, f"tenants[{index}]")
    settings = {
        name: content if name in SHOWN_TEAM_FIELDS else Hidden(content)
        for name, content in settings.items()
    }
    return CheckedTeam(
        Section.TEAMS,
        index,
        fields.get("name"),
        settings,
        keys=fields.get("access_keys"),
        urgency=fields.get("priority"),
    )


def read_limits(value: bytes, reading: Reading) -> CheckedLimits:
    """Return the limits on what callers may send; their times become seconds."""
    fields, settings = reading.read(AllLimitsModel, value, "limits")
    return CheckedLimits(
        header_bytes=fields.get("max_header_bytes"),
        body_bytes=fields.get("max_body_bytes"),
        header_timeout_s=seconds(fields.get("header_timeout_ms")),
        idle_timeout_s=seconds(fields.get("idle_timeout_ms")),
        settings=settings,
    )


def seconds(milliseconds: Number | None) -> float | None:
    """Return a time in seconds, None if it is not known."""
    return None if milliseconds is None else milliseconds / MILLISECONDS_PER_S
