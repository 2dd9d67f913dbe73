"""The operators' route that dumps the state of the process."""

from __future__ import annotations

import orjson
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from turmericusher.tasks.instance import EntryRuntime
from turmericusher.tasks.state_dump import dump_state


def state_routes(runtime: EntryRuntime) -> list[Route]:
    """Return the route that dumps the state as JSON."""

    async def show_state(_request: Request) -> Response:
        data = orjson.dumps(
            dump_state(runtime), default=str, option=orjson.OPT_NON_STR_KEYS
        )
        return Response(data, media_type="application/json")

    return [Route("/debug/state", show_state, methods=["GET"])]
