"""Tells by its key what a value of the platform's store is."""

from __future__ import annotations

from turmericusher.platform.names import (
    CONFIGURATION_KEY,
    INSTANCE_PREFIX,
    UPSTREAM_PREFIX,
)
from turmericusher.platform.records import (
    decode_configuration,
    decode_instance,
    decode_upstream,
)
from turmericusher.tasks.relay_fleet import (
    ConfigurationRecord,
    InstanceRecord,
    Record,
    UpstreamRecord,
)


def decode_record(key: str, value: bytes | None) -> Record | None:
    """Return the record under a key, empty where it is gone or unreadable."""
    if key == CONFIGURATION_KEY:
        table = decode_configuration(value) if value is not None else None
        return ConfigurationRecord(table)
    if key.startswith(UPSTREAM_PREFIX):
        name = key.removeprefix(UPSTREAM_PREFIX)
        upstream = decode_upstream(name, value) if value is not None else None
        return UpstreamRecord(name, upstream)
    if key.startswith(INSTANCE_PREFIX):
        name = key.removeprefix(INSTANCE_PREFIX)
        instance = decode_instance(name, value) if value is not None else None
        return InstanceRecord(name, instance)
    return None
