"""Bad input gets a coded error with verdict not_run, and the process keeps serving."""

import asyncio
from contextlib import AsyncExitStack

import orjson
import uuid6
from hypothesis import example, given, settings
from hypothesis import strategies as st
from parameterized import parameterized
from testtools import TestCase

from tests.common.asgi import AsgiResponse, call_app
from tests.common.waiting import wait_until
from turmericusher.api.app import create_app
from turmericusher.decisions.fleet import UpstreamInstance, UpstreamKind
from turmericusher.errors import ErrorCode, SettingsError
from turmericusher.ports import etcd_messages
from turmericusher.ports.engines import event_data, parse_chunk
from turmericusher.ports.upstream import StreamDiedError
from turmericusher.settings import parse_settings
from turmericusher.standins.engine import EngineOptions, EngineStandin, running_engine
from turmericusher.standins.instances import InstanceListStandin, running_instance_list
from turmericusher.standins.service import running_service
from turmericusher.standins.store import MemoryStore
from turmericusher.standins.store_server import running_store
from turmericusher.tasks.instance import running_entry_instance

HOST = "127.0.0.1"
MAX_BODY_BYTES = 50_000
TOKEN = "operator-token"
SETTINGS = """
instance: {{name: entry-1, failure_domain: quai-nord,
           caller_address: "127.0.0.1:0", peer_address: "127.0.0.1:0"}}
store: {{url: "http://{store}", timeout_s: 10}}
instance_list_url: http://{instances}/instances
services:
  - {{name: redacteur, kind: engine, models: [m]}}
  - {{name: halle-app, kind: service, default_profile: bookings}}
callers: {{max_body_bytes: {limit}}}
operators: {{token: operator-token}}
stale_after_s: 15
"""
OPERATOR = (b"authorization", b"Bearer " + TOKEN.encode())
COMPLETION = {"model": "m", "prompt": "a", "max_tokens": 2}
CHAT = {"model": "m", "messages": [{"role": "user", "content": "a"}], "max_tokens": 2}
PROFILE = {"expected_revision": 0, "change_id": "change-1", "max_wait_s": 5}
ORDER = {"expected_revision": 0, "change_id": "change-2", "wanted": {"version": "v2"}}
BODIES = {
    ("POST", b"/v1/completions"): COMPLETION,
    ("POST", b"/v1/chat/completions"): CHAT,
    ("PUT", b"/v1/operator/profiles/p"): PROFILE,
    ("PUT", b"/v1/operator/orders/redacteur"): ORDER,
}

few_examples = settings(max_examples=40)
json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=9),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=9), inner, max_size=3)
    ),
    max_leaves=8,
)
json_texts = json_values.map(lambda value: orjson.dumps(value, default=str)
                             if not is_unserializable(value) else b"1e999")  # fmt: skip
nesting_depths = st.sampled_from([200, 260, 900, 1020, 1030, 5000])
nested_texts = nesting_depths.map(lambda depth: b"[" * depth + b"]" * depth)
extreme_numbers = st.sampled_from([b"1e999", b"-1", b"99999999999999999999999", b"NaN"])
raw_values = json_texts | nested_texts | extreme_numbers | st.just(b'"\\ud800"')
raw_bodies = st.binary(max_size=60) | raw_values
header_values = st.binary(max_size=40).filter(lambda value: not set(b"\r\n") & {*value})
# The web server itself refuses request targets with other characters.
target_characters = st.characters(min_codepoint=0x21, max_codepoint=0x7E)
raw_targets = st.text(target_characters, max_size=20).map(lambda t: b"/" + t.encode())


def is_unserializable(value: object) -> bool:
    """Whether orjson cannot serialize a value, such as an integer beyond 64 bits."""
    try:
        orjson.dumps(value)
    except TypeError:
        return True
    return False


def with_field(body: dict, name: str, raw: bytes) -> bytes:
    """Return a JSON body in which one field is replaced by raw bytes."""
    kept = {key: value for key, value in body.items() if key != name}
    return orjson.dumps(kept)[:-1] + b"," + orjson.dumps(name) + b":" + raw + b"}"


class EntryHarness:
    """An entry instance's application with its stand-ins, and the loop they run on."""

    def __init__(self) -> None:
        self.runner = asyncio.Runner()
        self.stack = AsyncExitStack()
        self.runner.run(self.start())

    async def start(self) -> None:
        enter = self.stack.enter_async_context
        self.engine = EngineStandin(EngineOptions(models=("m",), token_gap_s=0.0))
        engine = await enter(running_engine(self.engine))
        service = await enter(running_service(HOST, 0, "halle-1"))
        listed = InstanceListStandin()
        listed.add(make_upstream("redacteur", UpstreamKind.ENGINE, engine, ("m",)))
        listed.add(make_upstream("halle-app", UpstreamKind.SERVICE, service.address))
        store = await enter(running_store(HOST, 0, MemoryStore()))
        instances = await enter(running_instance_list(HOST, 0, listed))
        text = SETTINGS.format(store=store, instances=instances, limit=MAX_BODY_BYTES)
        runtime = await enter(running_entry_instance(parse_settings(text)))
        await wait_until(
            lambda: (
                runtime.profiles.is_current() and len(runtime.selector.upstreams) == 2
            )
        )
        self.app = create_app(runtime)

    def call(self, method: str, target: bytes, *headers, body=()) -> AsgiResponse:
        return self.runner.run(call_app(self.app, method, target, headers, body))

    def close(self) -> None:
        self.runner.run(self.stack.aclose())
        self.runner.close()


def make_upstream(
    service: str, kind: UpstreamKind, address: str, models: tuple[str, ...] = ()
) -> UpstreamInstance:
    return UpstreamInstance(
        f"{service}-1", service, kind, address, "quai-nord", "1", "v1", models
    )


class BadInputTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.harness = EntryHarness()
        self.addCleanup(self.harness.close)
        self.check_completion_succeeds()
        bookings = {**PROFILE, "idempotent": False}
        body = [orjson.dumps(bookings)]
        path = b"/v1/operator/profiles/bookings"
        created = self.harness.call("PUT", path, OPERATOR, body=body)
        self.assertEqual(200, created.status, created.body)
        self.addCleanup(self.check_completion_succeeds)

    def check_completion_succeeds(self) -> None:
        """Check that a completion still succeeds."""
        body = [orjson.dumps(COMPLETION)]
        answer = self.harness.call("POST", b"/v1/completions", body=body)
        self.assertEqual(200, answer.status, answer.body)

    def check_is_refusal(self, answer: AsgiResponse) -> str:
        """Check for a coded error with verdict `not_run`, and return its code."""
        error = answer.json()["error"]
        self.assertEqual("not_run", error["verdict"], answer.body)
        self.assertIn(error["code"], list(ErrorCode))
        self.assertNotEqual(ErrorCode.INTERNAL, error["code"])
        self.assertIsInstance(error["message"], str)
        self.assertTrue(400 <= answer.status < 600 and answer.status != 500)
        return error["code"]

    def check_is_success_or_refusal(self, answer: AsgiResponse) -> None:
        """Check that a request either succeeded or was refused."""
        if answer.status not in (200, 204):
            self.check_is_refusal(answer)

    @parameterized.expand([(p.decode(), m, p) for m, p in BODIES])
    def test_any_bytes_as_a_body_are_refused(
        self, _name: str, method: str, path: bytes
    ) -> None:
        @few_examples
        @given(raw_bodies)
        @example(b"[" * 990 + b"]" * 990)
        def check(body: bytes) -> None:
            answer = self.harness.call(method, path, OPERATOR, body=[body])
            self.check_is_refusal(answer)

        check()

    @parameterized.expand([(p.decode(), m, p) for m, p in BODIES])
    def test_any_value_in_any_field_is_accepted_or_refused(
        self, _name: str, method: str, path: bytes
    ) -> None:
        body = BODIES[method, path]
        field_names = [
            *body,
            "stop",
            "stream",
            "stream_options",
            "turmericusher_resume",
        ]
        field_names += ["n", "seed", "name", "urgency", "second_attempt"]
        names = st.sampled_from([n for n in field_names if n != "max_tokens"])

        @few_examples
        @given(names | st.text(max_size=5), raw_values)
        @example("seed", b"[" * 260 + b"]" * 260)
        @example("messages", b'[{"role":"u","content":' + b"[" * 260 + b"]" * 260
                 + b"}]")  # fmt: skip
        @example("prompt", b"[99999999999999999999999]")
        @example("model", b'"' + b"x" * 201 + b'"')
        def check(name: str, raw: bytes) -> None:
            parts = [with_field(body, name, raw)]
            self.check_is_success_or_refusal(
                self.harness.call(method, path, OPERATOR, body=parts)
            )

        check()

    @parameterized.expand(
        [
            ("one_part", [b"x" * (MAX_BODY_BYTES + 1)]),
            ("many_parts", [b"x" * 1000] * (MAX_BODY_BYTES // 1000 + 1)),
        ]
    )
    def test_an_oversized_body_is_refused(self, _name: str, parts: list[bytes]) -> None:
        service = ("POST", b"/v1/services/halle-app/x")
        for method, path in [*BODIES, service]:
            answer = self.harness.call(method, path, OPERATOR, body=parts)
            self.assertEqual("request_too_large", self.check_is_refusal(answer))

    @parameterized.expand(
        [
            ("unknown_model", "POST", b"/v1/completions",
             {**COMPLETION, "model": "x"}, (), "unknown_model"),
            ("unknown_profile", "POST", b"/v1/completions", COMPLETION,
             ((b"turmericusher-profile", b"x"),), "unknown_profile"),
            ("unknown_service", "POST", b"/v1/services/x/y", {}, (),
             "unknown_service"),
            ("unknown_service_of_an_order", "PUT", b"/v1/operator/orders/x", ORDER,
             (OPERATOR,), "unknown_service"),
            ("unknown_upstream", "POST", b"/v1/operator/upstreams/x/leave", {},
             (OPERATOR,), "no_upstream"),
            ("engine_as_a_service", "POST", b"/v1/services/redacteur/y", {}, (),
             "unknown_service"),
            ("bad_team", "POST", b"/v1/completions", COMPLETION,
             ((b"turmericusher-team", b"a b"),), "invalid_request"),
            ("no_key", "POST", b"/v1/services/halle-app/y", {}, (),
             "invalid_idempotency_key"),
            ("no_token", "PUT", b"/v1/operator/profiles/p", PROFILE, (),
             "unauthorized"),
            ("wrong_token", "GET", b"/debug/state", {},
             ((b"authorization", b"Bearer \xff\xfe"),), "unauthorized"),
            ("unknown_route", "GET", b"/v2/completions", {}, (), "invalid_request"),
            ("wrong_method", "GET", b"/v1/completions", {}, (), "invalid_request"),
        ]
    )  # fmt: skip
    def test_a_refusal_has_the_code_of_its_cause(
        self, _name: str, method: str, path: bytes, body: dict, headers, code: str
    ) -> None:
        answer = self.harness.call(method, path, *headers, body=[orjson.dumps(body)])
        self.assertEqual(code, self.check_is_refusal(answer))

    @few_examples
    @given(header_values)
    @example(b"\xff")
    @example(str(uuid6.uuid7()).encode() + b" ")
    @example(b"0" * 40)
    def test_any_malformed_idempotency_key_is_refused(self, value: bytes) -> None:
        path = b"/v1/services/halle-app/bookings"
        answer = self.harness.call("POST", path, (b"idempotency-key", value))
        self.check_is_refusal(answer)

    @parameterized.expand(
        [("team",), ("profile",), ("attempt",), ("unknown",)]
    )  # fmt: skip
    def test_any_header_value_is_accepted_or_refused(self, name: str) -> None:
        @few_examples
        @given(header_values)
        def check(value: bytes) -> None:
            header = (b"turmericusher-" + name.encode(), value)
            body = [orjson.dumps(COMPLETION)]
            for path in (b"/v1/completions", b"/v1/services/halle-app/x"):
                self.check_is_success_or_refusal(
                    self.harness.call("POST", path, header, body=body)
                )

        check()

    @few_examples
    @given(
        st.sampled_from(["GET", "POST", "PUT", "DELETE", "BREW"]),
        st.sampled_from([b"", b"/v1/services/halle-app", b"/v1/operator/profiles"]),
        raw_targets,
    )
    @example("GET", b"/v1/operator/profiles", b"/p?change_id=%ff%00")
    @example("DELETE", b"/v1/operator/profiles", b"/p?expected_revision=%ff")
    @example("POST", b"/v1/services/halle-app", b"/%ff%00")
    @example("POST", b"/v1/services/halle%2dapp", b"/x")
    @example("PUT", b"/v1/operator/profiles", b"/%2e%2e%2f")
    def test_any_request_target_is_accepted_or_refused(
        self, method: str, start: bytes, tail: bytes
    ) -> None:
        answer = self.harness.call(method, start + tail, OPERATOR)
        if answer.status != 200:
            self.check_is_refusal(answer)


class ParserTest(TestCase):
    @few_examples
    @given(raw_bodies)
    def test_any_store_reply_is_parsed_or_rejected(self, data: bytes) -> None:
        for model in (
            etcd_messages.RangeReply,
            etcd_messages.TransactionReply,
            etcd_messages.LeaseReply,
            etcd_messages.KeepAliveReply,
            etcd_messages.WatchReply,
            etcd_messages.ErrorReply,
        ):
            try:
                self.assertIsInstance(etcd_messages.parse_message(model, data), model)
            except etcd_messages.MalformedReplyError:
                continue

    @few_examples
    @given(json_values)
    def test_a_key_value_of_the_wrong_type_is_rejected(self, value: object) -> None:
        if is_unserializable(value):
            return
        data = orjson.dumps({"header": {"revision": "3"}, "kvs": [{"key": value}]})
        self.assertRaises(
            etcd_messages.MalformedReplyError,
            etcd_messages.parse_message,
            etcd_messages.RangeReply,
            data,
        )

    @few_examples
    @given(raw_bodies | json_texts.map(lambda raw: b'{"choices":[' + raw + b"]}"))
    @example(b'{"choices":[{"text":"a","token_ids":[1e999]}]}')
    @example(b'{"choices":[{"delta":1}]}')
    def test_any_engine_chunk_is_parsed_or_ends_the_stream_as_died(
        self, data: bytes
    ) -> None:
        try:
            parse_chunk(event_data(b"data: " + data) or data)
        except StreamDiedError:
            return

    @few_examples
    @given(st.text(max_size=80) | json_texts.map(bytes.decode))
    @example("a: &a [*a]")
    @example("!!python/object/apply:os.system ['true']")
    @example("[" * 2000)
    @example("\x00")
    @example("2026-99-99")
    def test_invalid_settings_are_refused_with_a_one_line_message(
        self, text: str
    ) -> None:
        error = self.assertRaises(SettingsError, parse_settings, text)
        self.assertNotIn("\n", error.message)
