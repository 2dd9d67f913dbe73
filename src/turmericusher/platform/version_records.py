"""Converts records of software versions to and from the store's keys and values."""

from __future__ import annotations

import hashlib

import msgspec

from turmericusher.decisions.stream_versions import (
    SavedStream,
    SeenVersion,
    ServiceVersions,
    VersionRecord,
    make_service_versions,
)
from turmericusher.platform.decoding import WireModel, parse_or_log
from turmericusher.platform.names import STREAM_PREFIX, VERSIONS_PREFIX

DIGEST_BYTES = 16
"""Length of the digests in keys: names may be longer than the store's keys."""


class StreamModel(WireModel, frozen=True):
    """The version at which a stream began."""

    service: str
    version: str


class ServiceVersionsModel(WireModel, frozen=True):
    """The versions of a service's upstreams that were seen lately.

    Streams of the version `unrecorded` have no records.
    """

    service: str
    versions: frozenset[str]
    unrecorded: str | None = None


class VersionRecordCodec:
    """Translates records of versions to and from the store's keys and values."""

    def stream_key(self, stream: str) -> str:
        """Return the key of a stream's record."""
        return f"{STREAM_PREFIX}{digest(stream)}"

    def service_key(self, service: str) -> str:
        """Return the key of the record of a service's versions."""
        return f"{VERSIONS_PREFIX}{digest(service)}"

    def encode(self, record: SavedStream | ServiceVersions) -> tuple[str, bytes]:
        """Return the key and the value of a record."""
        if isinstance(record, SavedStream):
            model = {"service": record.service, "version": record.version}
            return self.stream_key(record.stream), msgspec.json.encode(model)
        versions = {
            "service": record.service,
            "versions": sorted(record.versions),
            "unrecorded": record.unrecorded,
        }
        return self.service_key(record.service), msgspec.json.encode(versions)

    def decode(self, key: str, value: bytes) -> VersionRecord | None:
        """Return the record of a key; None if it is of another kind, or invalid."""
        if key.startswith(STREAM_PREFIX):
            stream = parse_or_log(StreamModel, value, "version_record_dropped", key=key)
            return SeenVersion(stream.service, stream.version) if stream else None
        if not key.startswith(VERSIONS_PREFIX):
            return None
        model = parse_or_log(
            ServiceVersionsModel, value, "version_record_dropped", key=key
        )
        if model is None:
            return None
        return make_service_versions(model.service, model.versions, model.unrecorded)


def digest(name: str) -> str:
    """Return a name's digest in hexadecimal, short enough for a key."""
    return hashlib.blake2b(name.encode(), digest_size=DIGEST_BYTES).hexdigest()
