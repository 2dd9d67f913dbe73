"""Operators' routes that show profiles and on which instances they are in force."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from turmericusher.decisions.rollout import (
    DEFAULT_PROFILE,
    InstanceRevision,
    ProfileRecord,
    has_change,
    rollout_status,
)
from turmericusher.errors import ErrorCode, RequestRefusedError
from turmericusher.profiles import profile_to_mapping
from turmericusher.tasks.profile_watch import ProfileTable

PROFILES_PATH = "/v1/operator/profiles"

InstanceRevisions = Callable[[], Iterable[InstanceRevision]]
"""Returns the revision that each live instance has in force."""


def profile_query_routes(
    table: ProfileTable, instance_revisions: InstanceRevisions
) -> list[Route]:
    """Return the routes that show the profiles in force on this instance."""

    async def list_profiles(_request: Request) -> Response:
        records = sorted(
            table.rollout.records.values(), key=lambda record: record.profile.name
        )
        return JSONResponse(
            {
                "profiles": [record_mapping(record) for record in records],
                "revision": table.rollout.cursor,
                "is_current": table.is_current(),
            }
        )

    async def show_profile(request: Request) -> Response:
        record = find_record(table, request.path_params["name"])
        answer = record_mapping(record)
        change_id = request.query_params.get("change_id")
        if change_id is not None:
            answer["took_effect"] = has_change(record, change_id)
        return JSONResponse(answer)

    async def show_rollout(request: Request) -> Response:
        record = find_record(table, request.path_params["name"])
        status = rollout_status(record.revision, instance_revisions())
        return JSONResponse(
            {
                "revision": status.revision,
                "in_force": [
                    instance_mapping(instance) for instance in status.in_force
                ],
                "missing": [instance_mapping(instance) for instance in status.missing],
            }
        )

    return [
        Route(PROFILES_PATH, list_profiles, methods=["GET"]),
        Route(PROFILES_PATH + "/{name}", show_profile, methods=["GET"]),
        Route(PROFILES_PATH + "/{name}/rollout", show_rollout, methods=["GET"]),
    ]


def find_record(table: ProfileTable, name: str) -> ProfileRecord:
    """Return a profile's record, even if retired; raise if there is none."""
    record = table.rollout.records.get(name)
    if record is not None:
        return record
    if name == DEFAULT_PROFILE.name:
        return ProfileRecord(DEFAULT_PROFILE, 0)
    raise RequestRefusedError(
        ErrorCode.UNKNOWN_PROFILE,
        f"profile={name!r} does not exist at revision={table.rollout.cursor!r}",
    )


def record_mapping(record: ProfileRecord) -> dict[str, object]:
    """Return a profile's record as JSON values."""
    return {
        "profile": profile_to_mapping(record.profile),
        "revision": record.revision,
        "retired": record.retired,
        "changes": [change.change_id for change in record.changes],
    }


def instance_mapping(instance: InstanceRevision) -> dict[str, object]:
    """Return the revision that an instance has in force, as JSON values."""
    return {
        "name": instance.name,
        "failure_domain": instance.failure_domain,
        "revision": instance.cursor,
        "age_s": instance.age_s,
    }
