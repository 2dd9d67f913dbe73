"""Reads the platform's list of upstream instances.

The list has the JSON format of Prometheus's HTTP service discovery: an array of objects
with `targets` (`ip:port`) and `labels`. It lags behind, so it is only one of several
sources for which upstreams are live or leaving.
"""

from __future__ import annotations

from typing import Any

import aiohttp
import orjson
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from turmericusher.decisions.fleet import Lifecycle, UpstreamInstance, UpstreamKind
from turmericusher.errors import ErrorCode, UpstreamError, Verdict
from turmericusher.logs import log_event
from turmericusher.settings import Address, Name
from turmericusher.validation import describe_validation_error

MAX_LIST_BYTES = 8_000_000
STATUS_OK = 200


class LabelsModel(BaseModel):
    """The labels of one upstream; unknown labels are ignored."""

    model_config = ConfigDict(frozen=True)

    name: Name
    service: Name
    kind: UpstreamKind
    failure_domain: Name
    incarnation: str = ""
    state: Lifecycle = Lifecycle.LIVE
    models: str = ""
    version: str = ""
    checks_fencing: bool = False


class TargetModel(BaseModel):
    """One entry of the list, with exactly one target."""

    model_config = ConfigDict(frozen=True)

    targets: tuple[Address, ...] = Field(min_length=1, max_length=1)
    labels: LabelsModel


async def fetch_instances(
    session: aiohttp.ClientSession, url: str
) -> tuple[UpstreamInstance, ...]:
    """Fetch and parse the list; raise `UpstreamError` if no valid response comes."""
    try:
        async with session.get(url) as response:
            data = await response.content.read(MAX_LIST_BYTES + 1)
            while chunk := await response.content.read(MAX_LIST_BYTES + 1):
                data += chunk
            status = response.status
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        raise instance_list_error(f"cannot read url={url!r}: {error!r}") from error
    if status != STATUS_OK:
        raise instance_list_error(f"url={url!r} answered status={status}")
    return parse_instances(data)


def parse_instances(data: bytes) -> tuple[UpstreamInstance, ...]:
    """Parse a list into upstreams; an invalid entry is logged and left out."""
    if len(data) > MAX_LIST_BYTES:
        raise instance_list_error(f"the list is larger than {MAX_LIST_BYTES} bytes")
    try:
        entries = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise instance_list_error(f"the list is not JSON: {error}") from error
    if not isinstance(entries, list):
        raise instance_list_error("the list is not a JSON array")
    by_name: dict[str, UpstreamInstance] = {}
    for entry in entries:
        upstream = parse_entry(entry)
        if upstream is not None:
            by_name[upstream.name] = upstream
    return tuple(by_name.values())


def parse_entry(entry: Any) -> UpstreamInstance | None:
    """Parse one entry; log it and return None if it is invalid."""
    try:
        target = TargetModel.model_validate(entry)
    except ValidationError as error:
        reason = describe_validation_error("entry", error)
        log_event("instance_list_entry_dropped", reason=reason)
        return None
    labels = target.labels
    return UpstreamInstance(
        name=labels.name,
        service=labels.service,
        kind=labels.kind,
        address=target.targets[0],
        failure_domain=labels.failure_domain,
        incarnation=labels.incarnation,
        version=labels.version,
        models=tuple(model for model in labels.models.split(",") if model),
        lifecycle=labels.state,
        checks_fencing=labels.checks_fencing,
    )


def instance_list_error(message: str) -> UpstreamError:
    """Return the error for a list that cannot be read or parsed."""
    return UpstreamError(ErrorCode.UPSTREAM_FAILED, message, verdict=Verdict.RAN)
