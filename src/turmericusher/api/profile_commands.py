"""Operators' routes that create, change and retire profiles."""

from __future__ import annotations

from typing import Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from turmericusher.api.body_parsing import parse_object
from turmericusher.asgi import read_body
from turmericusher.decisions.rollout import ProfileChange
from turmericusher.errors import ErrorCode, RequestRefusedError
from turmericusher.profile_models import profile_from_mapping
from turmericusher.profiles import profile_to_mapping
from turmericusher.tasks.profile_changes import AcceptedChange, ProfileChanger
from turmericusher.validation import describe_validation_error

MAX_BODY_BYTES = 16_384
PROFILE_PATH = "/v1/operator/profiles/{name}"


class ChangeMetadataModel(BaseModel):
    """The fields of a change beside the profile: its base revision and its identifier.

    `expected_revision` is the revision that the change is based on. `change_id` lets a
    repeat of the same change be recognized.
    """

    model_config = ConfigDict(extra="ignore", frozen=True)

    expected_revision: int = Field(ge=0)
    change_id: str = Field(min_length=8, max_length=64, pattern=r"^[A-Za-z0-9._-]+$")


def profile_command_routes(changer: ProfileChanger) -> list[Route]:
    """Return the routes that create, change and retire profiles."""

    async def put_profile(request: Request) -> Response:
        fields = parse_object(await read_body(request.stream(), MAX_BODY_BYTES))
        metadata = parse_change_metadata(fields)
        name = request.path_params["name"]
        profile = profile_from_mapping(profile_fields(fields, name))
        accepted = await changer.change(
            ProfileChange(profile, metadata.expected_revision, metadata.change_id)
        )
        return accepted_response(accepted)

    async def retire_profile(request: Request) -> Response:
        metadata = parse_change_metadata(dict(request.query_params))
        profile = profile_from_mapping({"name": request.path_params["name"]})
        accepted = await changer.change(
            ProfileChange(
                profile, metadata.expected_revision, metadata.change_id, retire=True
            )
        )
        return accepted_response(accepted)

    return [
        Route(PROFILE_PATH, put_profile, methods=["PUT"]),
        Route(PROFILE_PATH, retire_profile, methods=["DELETE"]),
    ]


def parse_change_metadata(fields: dict[str, Any]) -> ChangeMetadataModel:
    """Validate a change's base revision and identifier; raise if they are invalid."""
    try:
        return ChangeMetadataModel.model_validate(fields)
    except ValidationError as error:
        raise RequestRefusedError(
            ErrorCode.INVALID_REQUEST, describe_validation_error("change", error)
        ) from error


def profile_fields(fields: dict[str, Any], name: str) -> dict[str, Any]:
    """Return the profile's own fields; raise if its name differs from the path's."""
    own = {
        key: value
        for key, value in fields.items()
        if key not in ChangeMetadataModel.model_fields
    }
    if own.setdefault("name", name) != name:
        raise RequestRefusedError(
            ErrorCode.INVALID_REQUEST,
            f"profile.name={own['name']!r} differs from {name!r} in the path; "
            "leave it out",
        )
    return own


def accepted_response(accepted: AcceptedChange) -> Response:
    """Return the response to an accepted change, with the profile's current record."""
    return JSONResponse(
        {
            "change_id": accepted.change_id,
            "revision": accepted.record.revision,
            "retired": accepted.record.retired,
            "profile": profile_to_mapping(accepted.record.profile),
            "in_force": [instance.name for instance in accepted.status.in_force],
            "missing": [instance.name for instance in accepted.status.missing],
        }
    )
