"""The operators' route that sets the desired state of a service's upstreams."""

from __future__ import annotations

from collections.abc import Collection

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from turmericusher.asgi import read_body
from turmericusher.decisions.orders import UpstreamSpec
from turmericusher.errors import ErrorCode, RequestRefusedError
from turmericusher.tasks.orders import INTENT_ADAPTER, IntentChanger
from turmericusher.validation import describe_validation_error

MAX_BODY_BYTES = 16_384
ORDER_PATH = "/v1/operator/orders/{service}"


class UpstreamSpecModel(BaseModel):
    """The desired state of every upstream; an omitted field may have any value."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    model: str = Field(default="", max_length=200)
    version: str = Field(default="", max_length=200)
    adapters: tuple[str, ...] = Field(default=(), max_length=64)
    role: str = Field(default="", max_length=64)


class OrderChangeModel(BaseModel):
    """A change of the desired state, based on `expected_revision`.

    `change_id` lets a repeat of the same change be recognized.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    wanted: UpstreamSpecModel
    expected_revision: int = Field(ge=0)
    change_id: str = Field(min_length=8, max_length=64, pattern=r"^[A-Za-z0-9._-]+$")


def order_command_routes(
    changer: IntentChanger, services: Collection[str]
) -> list[Route]:
    """Return the route that changes a service's desired state."""

    async def put_order(request: Request) -> Response:
        service = validate_service(request.path_params["service"], services)
        change = parse_order_change(await read_body(request.stream(), MAX_BODY_BYTES))
        wanted = UpstreamSpec(**change.wanted.model_dump())
        accepted = await changer.change(
            service, wanted, change.expected_revision, change.change_id
        )
        return JSONResponse(
            {
                "service": service,
                "revision": accepted.revision,
                "intent": INTENT_ADAPTER.dump_python(accepted.intent, mode="json"),
            }
        )

    return [Route(ORDER_PATH, put_order, methods=["PUT"])]


def parse_order_change(data: bytes) -> OrderChangeModel:
    """Validate the body of a change; raise `RequestRefusedError` if it is invalid."""
    try:
        return OrderChangeModel.model_validate_json(data)
    except ValidationError as error:
        raise RequestRefusedError(
            ErrorCode.INVALID_REQUEST, describe_validation_error("order", error)
        ) from error


def validate_service(service: str, services: Collection[str]) -> str:
    """Return the service; raise `RequestRefusedError` if it is not in the settings."""
    if service not in services:
        raise RequestRefusedError(
            ErrorCode.UNKNOWN_SERVICE,
            f"service={service!r} is not in the settings; use one of "
            f"{sorted(services)!r}",
        )
    return service
