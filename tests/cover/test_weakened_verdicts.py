"""Test that only a first request is refused as `not_run` before its record is read."""

from __future__ import annotations

from parameterized import parameterized
from starlette.datastructures import Headers
from testtools import TestCase

from tests.common.call_fixtures import new_key
from turmericusher.api.headers import ATTEMPT_HEADER, IDEMPOTENCY_KEY_HEADER
from turmericusher.api.services import downgrade_not_run
from turmericusher.errors import ErrorCode, RequestRefusedError, Verdict


class WeakenedVerdictTest(TestCase):
    @parameterized.expand(
        [
            ("no_key", {}, Verdict.NOT_RUN),
            (
                "first_attempt",
                {IDEMPOTENCY_KEY_HEADER: new_key(), ATTEMPT_HEADER: "1"},
                Verdict.NOT_RUN,
            ),
            (
                "later_attempt",
                {IDEMPOTENCY_KEY_HEADER: "k", ATTEMPT_HEADER: "2"},
                Verdict.MAY_HAVE_RUN,
            ),
            ("unnumbered", {IDEMPOTENCY_KEY_HEADER: "k"}, Verdict.MAY_HAVE_RUN),
            (
                "not_a_number",
                {IDEMPOTENCY_KEY_HEADER: "k", ATTEMPT_HEADER: "x"},
                Verdict.MAY_HAVE_RUN,
            ),
        ]
    )
    def test_the_verdict_of_a_refusal_depends_on_the_attempt(
        self, _name: str, headers: dict[str, str], verdict: Verdict
    ) -> None:
        error = RequestRefusedError(ErrorCode.INSTANCE_STOPPING, "stopping")
        downgrade_not_run(Headers(headers), error)
        self.assertEqual(verdict, error.verdict)
