"""The operators' route that shows the desired state and the orders of a service."""

from __future__ import annotations

from collections.abc import Collection

from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from turmericusher.api.order_commands import (
    ORDER_PATH,
    order_command_routes,
    validate_service,
)
from turmericusher.ports.keyvalue import KeyValueStore
from turmericusher.tasks.instance import EntryRuntime
from turmericusher.tasks.orders import (
    INTENT_ADAPTER,
    RECORD_ADAPTER,
    IntentChanger,
    order_keys,
    read_intent,
)


def order_routes(runtime: EntryRuntime) -> list[Route]:
    """Return the routes that set and show the desired state of a service."""
    settings = runtime.settings
    services = frozenset(service.name for service in settings.services)
    changer = IntentChanger(runtime.store, settings.store_prefix)
    return [
        *order_command_routes(changer, services),
        *order_query_routes(runtime.store, settings.store_prefix, services),
    ]


def order_query_routes(
    store: KeyValueStore, prefix: str, services: Collection[str]
) -> list[Route]:
    """Return the route that shows what the store holds about a service's orders."""

    async def show_order(request: Request) -> Response:
        service = validate_service(request.path_params["service"], services)
        keys = order_keys(prefix, service)
        intent, revision = await read_intent(store, keys.intent)
        record = await store.get(keys.record)
        holder = await store.get(keys.holder)
        shown = (
            RECORD_ADAPTER.validate_json(record.value) if record is not None else None
        )
        return JSONResponse(
            {
                "service": service,
                "revision": revision,
                "intent": INTENT_ADAPTER.dump_python(intent, mode="json")
                if intent
                else None,
                "record": RECORD_ADAPTER.dump_python(shown, mode="json")
                if shown
                else None,
                "holder": holder.value.decode() if holder is not None else None,
                "fencing": holder.revision if holder is not None else 0,
            }
        )

    return [Route(ORDER_PATH, show_order, methods=["GET"])]
