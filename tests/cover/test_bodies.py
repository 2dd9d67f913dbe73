"""Callers' bodies: token limits, fields that no resume can honour, fingerprints."""

from __future__ import annotations

import orjson
from parameterized import parameterized
from testtools import TestCase

from turmericusher.api.bodies import (
    ChatBody,
    CompletionBody,
    GenerationBody,
    generation_from_body,
    parse_body,
)
from turmericusher.errors import ErrorCode, RequestRefusedError
from turmericusher.profiles import Profile

CHAT = {"model": "m", "messages": [{"role": "user", "content": "hi"}]}
COMPLETION = {"model": "m", "prompt": "hi"}


def parse(mapping: dict[str, object]) -> GenerationBody:
    """Parse a body, as a chat if it has messages."""
    model = ChatBody if "messages" in mapping else CompletionBody
    return parse_body(orjson.dumps(mapping), model)


class BodyTest(TestCase):
    @parameterized.expand(
        [
            ("completion_default", COMPLETION, 16),
            ("completion", {**COMPLETION, "max_tokens": 7}, 7),
            ("chat_default", CHAT, None),
            ("chat_old_name", {**CHAT, "max_tokens": 7}, 7),
            (
                "chat_new_name_first",
                {**CHAT, "max_tokens": 7, "max_completion_tokens": 9},
                9,
            ),
        ]
    )
    def test_the_token_limit_is_read_from_the_body(
        self, _name: str, mapping: dict[str, object], expected: int | None
    ) -> None:
        profile = Profile("default")
        request = generation_from_body(parse(mapping), "1", "team", profile, "s")
        self.assertEqual(expected, request.max_tokens)
        self.assertNotIn("max_tokens", request.parameters)

    @parameterized.expand(
        [
            ("several_choices", {"n": 2}),
            ("probabilities", {"logprobs": 5}),
            ("tools", {"tools": [{"type": "function"}]}),
            ("minimum_tokens", {"min_tokens": 3}),
            ("grammar", {"response_format": {"type": "json_object"}}),
        ]
    )
    def test_a_field_that_a_resume_cannot_honour_is_refused(
        self, _name: str, fields: dict[str, object]
    ) -> None:
        error = self.assertRaises(RequestRefusedError, parse, {**COMPLETION, **fields})
        self.assertEqual(ErrorCode.UNSUPPORTED_PARAMETER, error.code)

    def test_equal_requests_have_equal_fingerprints(self) -> None:
        profile = Profile("default")
        requests = [
            generation_from_body(parse(body), str(number), "team", profile, "s")
            for number, body in enumerate([COMPLETION, {**COMPLETION, "seed": 3}, CHAT])
        ]
        fingerprints = [request.fingerprint for request in requests]
        self.assertEqual(fingerprints[0], fingerprints[1])
        self.assertNotEqual(fingerprints[0], fingerprints[2])
