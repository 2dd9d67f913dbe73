"""Routes that list entry points for callers and mark upstreams as leaving."""

from __future__ import annotations

from dataclasses import asdict

from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from turmericusher.tasks.membership import Fleet


def entrypoint_routes(fleet: Fleet, ttl_s: float) -> list[Route]:
    """Return the route that lists entry points; answers are cacheable for `ttl_s`."""

    async def show_entrypoints(request: Request) -> Response:
        failure_domain = request.query_params.get("failure_domain", "")
        chosen = fleet.entrypoints(failure_domain)
        return JSONResponse(
            {
                "entrypoints": [asdict(entrypoint) for entrypoint in chosen],
                "ttl_s": ttl_s,
            },
            headers={"Cache-Control": f"max-age={int(ttl_s)}"},
        )

    return [Route("/v1/entrypoints", show_entrypoints, methods=["GET"])]


def upstream_command_routes(fleet: Fleet) -> list[Route]:
    """Return the operators' route that marks an upstream as leaving."""

    async def mark_upstream_leaving(request: Request) -> Response:
        mark = fleet.mark_leaving_by_name(request.path_params["name"])
        return JSONResponse(asdict(mark))

    return [
        Route(
            "/v1/operator/upstreams/{name}/leave",
            mark_upstream_leaving,
            methods=["POST"],
        ),
    ]
