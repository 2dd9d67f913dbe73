"""Authentication: a caller's team by header or token, an operator by bearer token."""

from __future__ import annotations

import hmac
import re

from starlette.requests import Request

from turmericusher.api.headers import TEAM_HEADER
from turmericusher.errors import ErrorCode, RequestRefusedError
from turmericusher.settings import CallerIdentity, Settings

DEFAULT_TEAM = "default"
TEAM_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
BEARER_PREFIX = "bearer "


def identify_team(request: Request, settings: Settings) -> str:
    """Return the caller's team; raise `RequestRefusedError` for an invalid one."""
    if settings.identify_by is CallerIdentity.TOKEN:
        team = settings.caller_tokens.get(bearer_token(request))
        if team is None:
            raise unauthorized("the bearer token belongs to no team")
        return team
    team = request.headers.get(TEAM_HEADER, DEFAULT_TEAM)
    if not TEAM_PATTERN.fullmatch(team):
        raise RequestRefusedError(
            ErrorCode.INVALID_REQUEST,
            f"{TEAM_HEADER}={team[:80]!r}: use up to 63 letters, digits, . _ -",
        )
    return team


def check_operator(request: Request, settings: Settings) -> None:
    """Raise `RequestRefusedError` unless the request carries the operator token."""
    given = bearer_token(request).encode("utf-8")
    if not hmac.compare_digest(given, settings.operator_token.encode("utf-8")):
        raise unauthorized("operator routes require the operator token of the settings")


def bearer_token(request: Request) -> str:
    """Return the bearer token of the Authorization header (RFC 6750), or ''."""
    value = request.headers.get("authorization", "")
    if not value.lower().startswith(BEARER_PREFIX):
        return ""
    return value[len(BEARER_PREFIX) :].strip()


def unauthorized(message: str) -> RequestRefusedError:
    """Return the error for a missing or wrong token."""
    return RequestRefusedError(ErrorCode.UNAUTHORIZED, message)
