"""The route that lists the models served."""

from __future__ import annotations

from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from turmericusher.tasks.instance import EntryRuntime


def model_routes(runtime: EntryRuntime) -> list[Route]:
    """Return the route that lists models in OpenAI's format."""

    async def list_models(_request: Request) -> Response:
        models = [
            {"id": model, "object": "model", "created": 0, "owned_by": service.name}
            for service in runtime.settings.services
            for model in service.models
        ]
        return JSONResponse({"object": "list", "data": models})

    return [Route("/v1/models", list_models, methods=["GET"])]
