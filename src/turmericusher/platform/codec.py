"""Converts between the platform's HTTP headers and the relay's types."""

from __future__ import annotations

import math
import re
from dataclasses import dataclass

from turmericusher.api.headers import FORWARDED_HEADER
from turmericusher.asgi import Scope
from turmericusher.decisions.forwarding import Hop
from turmericusher.decisions.placing.upstream_load import LoadReport
from turmericusher.decisions.relay_messages import Headers, RelayedRequest
from turmericusher.errors import ErrorCode, RequestRefusedError
from turmericusher.platform.names import (
    LAST_EVENT_ID,
    LEAVING,
    LOAD,
    PAUSE,
    PROMPT_PARTS,
    REMAINING_MS,
    REQUEST_ID,
    RESUMES,
    SEND_LIMIT,
    SYSTEM_HEADERS,
    TOKEN_COUNTS,
    UPSTREAM_ONLY_HEADERS,
)
from turmericusher.platform.settings import MILLISECONDS_PER_S
from turmericusher.ports.services import HOP_BY_HOP_HEADERS

BEARER_PREFIX = "bearer "
REQUEST_ONLY_HEADERS = SYSTEM_HEADERS | {FORWARDED_HEADER.lower()}
HOP = re.compile(r"([^;]+);([0-9]{1,18});([01]);([^;]+)")
WHOLE_NUMBER = re.compile(r"[ ]*[0-9]{1,18}[ ]*")
"""Digits as `int` takes them: there are others, and it refuses thousands of them."""

MAX_PAUSE_S = 86_400.0
"""Seconds beyond which a pause is taken for a mistake."""

USUAL_PACE = 100.0
"""The fourth figure of a load header while work takes as long as usual."""

PART_ID = re.compile(r"[0-9a-fA-F]{1,64}")


@dataclass(frozen=True, slots=True)
class PlatformCodec:
    """The platform's `RelayCodec`; it has no state, so one serves all requests."""

    def decode(self, scope: Scope, body: bytes, arrived_at: float) -> RelayedRequest:
        """Return the relayed request; raise `RequestRefusedError` for a bad header."""
        headers = [
            (name.decode("latin-1").lower(), value.decode("latin-1"))
            for name, value in scope["headers"]
        ]
        first_values = dict(reversed(headers))
        request_id = first_values.get(REQUEST_ID, "")
        if not request_id:
            raise malformed(REQUEST_ID, request_id)
        raw_path = scope["raw_path"].decode("latin-1")
        query = scope["query_string"].decode("latin-1")
        remaining_ms = parse_number(REMAINING_MS, first_values.get(REMAINING_MS))
        resume_after = parse_number(LAST_EVENT_ID, first_values.get(LAST_EVENT_ID))
        return RelayedRequest(
            request_id=request_id,
            host=first_values.get("host", "").partition(":")[0].lower(),
            method=scope["method"],
            path=raw_path,
            target=f"{raw_path}?{query}" if query else raw_path,
            headers=forwarded_headers(headers, REQUEST_ONLY_HEADERS),
            body=body,
            key=bearer_key(first_values.get("authorization")),
            arrived_at=arrived_at,
            deadline=arrived_at
            + (math.inf if remaining_ms is None else remaining_ms / MILLISECONDS_PER_S),
            resume_after=None if resume_after is None else int(resume_after),
            size=parse_token_count(first_values.get(TOKEN_COUNTS)),
            resumes=first_values.get(RESUMES) or None,
            prompt_parts=parse_prompt_parts(first_values.get(PROMPT_PARTS)),
            part_tokens=parse_part_tokens(first_values.get(PROMPT_PARTS)),
            hop=parse_hop(first_values.get(FORWARDED_HEADER.lower())),
        )

    def encode_headers(self, headers: Headers) -> list[tuple[bytes, bytes]]:
        """Return an upstream's response headers as they are sent to the caller."""
        return [
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in forwarded_headers(list(headers), UPSTREAM_ONLY_HEADERS)
        ]

    def encode_failure(
        self, scope: Scope, retry_after_s: float | None
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers of an error response that this instance itself sends.

        They repeat the caller's request id. `retry_after_s` is in seconds.
        """
        headers = [(b"content-type", b"text/plain")]
        wanted = REQUEST_ID.encode()
        for name, value in scope["headers"]:
            if name.lower() == wanted:
                headers.append((wanted, value))
        if retry_after_s is not None:
            headers.append((b"retry-after", f"{retry_after_s:.3f}".encode()))
        return headers


def forwarded_headers(
    headers: list[tuple[str, str]], excluded: frozenset[str]
) -> Headers:
    """Return the headers that are forwarded: neither hop-by-hop nor in `excluded`.

    A `Connection` header may name further headers that apply to one connection only;
    these are left out as well.
    """
    connection_headers: set[str] = set()
    for name, value in headers:
        if name.lower() == "connection":
            connection_headers.update(part.strip().lower() for part in value.split(","))
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in HOP_BY_HOP_HEADERS
        and name.lower() not in excluded
        and name.lower() not in connection_headers
    )


def bearer_key(value: str | None) -> str | None:
    """Return the key of a bearer `Authorization` header; None for any other value."""
    if value is None or not value.lower().startswith(BEARER_PREFIX):
        return None
    return value[len(BEARER_PREFIX) :].strip()


def parse_hop(value: str | None) -> Hop | None:
    """Return what another instance says of a request that it forwards, if it does.

    A malformed value counts as none.
    """
    match = HOP.fullmatch(value or "")
    if match is None:
        return None
    return Hop(match[1], int(match[2]), match[3] == "1", match[4])


def parse_number(name: str, value: str | None) -> float | None:
    """Parse a header as a non-negative number; return None if the header is missing.

    Raises `RequestRefusedError` for anything else.
    """
    if value is None:
        return None
    try:
        number = float(value)
    except ValueError:
        raise malformed(name, value) from None
    if not 0 <= number < math.inf:
        raise malformed(name, value)
    return number


def malformed(name: str, value: str) -> RequestRefusedError:
    """Return the error that refuses a request for a missing or invalid header."""
    return RequestRefusedError(
        ErrorCode.INVALID_REQUEST, f"header {name}={value!r} is invalid; correct it"
    )


def parse_token_count(value: str | None) -> int:
    """Return a request's memory in tokens: its prompt and its longest output.

    Returns 0 if the header is missing or malformed.
    """
    parts = (value or "").split(",")
    if len(parts) != 2 or not all(WHOLE_NUMBER.fullmatch(part) for part in parts):
        return 0
    return int(parts[0]) + int(parts[1])


def parse_prompt_parts(value: str | None) -> tuple[str, ...]:
    """Return the ids of the prompt's parts in order; none if malformed or missing."""
    parts = [part.strip().partition(":") for part in (value or "").split(",")]
    if not all(PART_ID.fullmatch(p) and WHOLE_NUMBER.fullmatch(n) for p, _, n in parts):
        return ()
    return tuple(part.lower() for part, _, _ in parts)


def parse_part_tokens(value: str | None) -> tuple[int, ...]:
    """Return the tokens of the prompt's parts in order; none if there are no parts."""
    if not parse_prompt_parts(value):
        return ()
    return tuple(int(part.partition(":")[2]) for part in (value or "").split(","))


def parse_load(headers: Headers) -> LoadReport | None:
    """Return the load that an upstream reports in its response, if it does.

    The slowdown comes in hundredths; whether a figure is plausible is not decided here.
    """
    for name, value in headers:
        if name.lower() == LOAD:
            parts = value.split(",")
            if len(parts) >= 2 and all(map(WHOLE_NUMBER.fullmatch, parts)):
                figures = [float(part) for part in parts[:4]]
                slots = figures[2] if len(figures) > 2 else None
                slowdown = figures[3] / USUAL_PACE if len(figures) > 3 else None
                return LoadReport(figures[0], figures[1], slots, slowdown)
    return None


def parse_leaving(headers: Headers) -> bool:
    """Whether a response says that its upstream is leaving."""
    return any(
        name.lower() == LEAVING and value.strip() == "1" for name, value in headers
    )


def parse_pause(headers: Headers) -> float | None:
    """Return the seconds for which a refusal asks its receiver to send nothing.

    Returns None if it does not ask for that; raises `ValueError` for a malformed value.
    A date is one too.
    """
    value = next((value for name, value in headers if name.lower() == PAUSE), None)
    if value is None:
        return None
    seconds = float(value)
    if not 0 <= seconds <= MAX_PAUSE_S:
        raise ValueError(f"header {PAUSE}={value!r} is not from 0 to {MAX_PAUSE_S} s")
    return seconds


def parse_send_limit(headers: Headers) -> float | None:
    """Return the requests per second that an upstream takes from all instances.

    Returns None if it names no limit; raises `ValueError` for a malformed one.
    """
    value = next((value for name, value in headers if name.lower() == SEND_LIMIT), None)
    if value is None:
        return None
    per_s = float(value)
    if not 0 <= per_s < math.inf:
        raise ValueError(f"header {SEND_LIMIT}={value!r} is not a rate")
    return per_s
