"""Test that snapshots are restored completely and replace no stored profile."""

import asyncio
import contextlib
import io
import tempfile
import threading
from collections.abc import Iterator
from pathlib import Path

import orjson
from hypothesis import given
from hypothesis import strategies as st
from parameterized import parameterized
from testtools import TestCase

from turmericusher.cli.main import run_reporting_errors
from turmericusher.cli.snapshots import CheckFile, Restore, Save, SnapshotCommand
from turmericusher.decisions.rollout import ProfileRecord
from turmericusher.errors import (
    StoreOutcomeUnknownError,
    StoreUnavailableError,
    TurmericusherError,
)
from turmericusher.ports.keyvalue import SwapResult
from turmericusher.profiles import Profile
from turmericusher.snapshots import (
    ProfileSnapshot,
    RestoreOutcome,
    SavedProfile,
    SnapshotError,
    compute_checksum,
    decode_snapshot,
    encode_snapshot,
    restore_snapshot,
    take_snapshot,
)
from turmericusher.standins.store import MemoryStore
from turmericusher.standins.store_server import running_store
from turmericusher.tasks.profile_records import encode_record

PREFIX = "/t/fleet/profiles/"
KEY = PREFIX + "a"


def record(name: str = "a", urgency: int = 5, retired: bool = False) -> bytes:
    return encode_record(ProfileRecord(Profile(name, urgency=urgency), 0, retired))


def saved_profile(name: str = "a", revision: int = 9, **fields) -> SavedProfile:
    return SavedProfile(name, revision, record(name, **fields).decode())


SNAPSHOT = ProfileSnapshot(9, (saved_profile("a"), saved_profile("b", 4, retired=True)))
SINGLE_PROFILE = ProfileSnapshot(9, (saved_profile("a"),))


def make_file(**content) -> bytes:
    """Return a snapshot file with changed content and a matching checksum."""
    body = orjson.loads(encode_snapshot(SNAPSHOT))
    body["content"].update(content)
    return orjson.dumps(body | {"checksum": compute_checksum(body["content"])})


def restore(
    store: MemoryStore, snapshot: ProfileSnapshot = SINGLE_PROFILE
) -> RestoreOutcome:
    return asyncio.run(restore_snapshot(store, PREFIX, snapshot, pause_s=0.0))["a"]


class CompetingWriteStore(MemoryStore):
    """A store in which an operator's change precedes one of the writes."""

    competing_value: bytes = b""
    competing_at: int = 0
    swap_count: int = 0

    async def compare_and_swap(
        self, key: str, expected_revision: int, value: bytes | None, lease: int = 0
    ) -> SwapResult:
        if self.swap_count == self.competing_at:
            self.write(key, self.competing_value)
        self.swap_count += 1
        return await super().compare_and_swap(key, expected_revision, value, lease)


class FileTest(TestCase):
    @given(st.integers(min_value=0), st.binary(min_size=1, max_size=3))
    def test_a_corrupted_file_is_refused_or_decodes_unchanged(
        self, position: int, junk: bytes
    ) -> None:
        data = encode_snapshot(SNAPSHOT)
        self.assertEqual(SNAPSHOT, decode_snapshot(data))
        position %= len(data)
        try:
            decoded = decode_snapshot(data[:position] + junk + data[position + 1 :])
        except SnapshotError as error:
            self.assertNotIn("\n", error.message)
        else:
            self.assertEqual(SNAPSHOT, decoded)

    @parameterized.expand(
        [
            ("empty", b"", "not whole JSON"),
            ("cut", encode_snapshot(SNAPSHOT)[:-20], "not whole JSON"),
            ("list", b"[]", "snapshot=[]"),
            ("other_format", encode_snapshot(SNAPSHOT).replace(
                b'"format": 1', b'"format": 2'), "snapshot.format=2"),
            ("no_checksum", make_file().replace(b"sha256:", b"sha256:0"), "checksum"),
            ("name_twice", make_file(profiles=[{"name": "a", "revision": 1, "record":
                record().decode()}] * 2), "stands twice"),
            ("other_name", make_file(profiles=[{"name": "a", "revision": 1, "record":
                record("b").decode()}]), "holds the record of 'b'"),
            ("unreadable", make_file(profiles=[{"name": "a", "revision": 1,
                "record": "{}"}]), "profile 'a'"),
            ("revision_zero", make_file(profiles=[{"name": "a", "revision": 0,
                "record": ""}]), "revision=0"),
            ("unknown_field", make_file(colour="red"), "colour"),
        ]
    )  # fmt: skip
    def test_an_invalid_file_is_refused(
        self, _name: str, data: bytes, part: str
    ) -> None:
        error = self.assertRaises(SnapshotError, decode_snapshot, data)
        self.assertIn(part, error.message)


class RestoreTest(TestCase):
    @parameterized.expand(
        [
            ("absent", None, RestoreOutcome.WRITTEN),
            ("in_force", record(urgency=1), RestoreOutcome.KEPT),
            ("the_same", record(), RestoreOutcome.KEPT),
            ("retired", record(retired=True), RestoreOutcome.KEPT_RETIRED),
            ("unreadable", b"?", RestoreOutcome.KEPT),
        ]
    )
    def test_only_missing_profiles_are_written(
        self, _name: str, stored: bytes | None, expected: RestoreOutcome
    ) -> None:
        for revision in (1, 50):
            store = MemoryStore(revision=revision)
            if stored is not None:
                store.write(KEY, stored)
            self.assertIs(expected, restore(store))
            self.assertEqual(stored or record(), store.values[KEY].value)

    def test_a_restored_tombstone_keeps_its_name_retired(self) -> None:
        store = MemoryStore()
        restore(store, SNAPSHOT)
        new_snapshot = asyncio.run(take_snapshot(store, PREFIX))
        self.assertEqual(
            [one.record for one in SNAPSHOT.profiles],
            [one.record for one in new_snapshot.profiles],
        )

    @given(st.integers(0, 4), st.integers(0, 6), st.booleans())
    def test_a_competing_change_is_kept_whatever_replies_are_lost(
        self, lost: int, competing_at: int, retired: bool
    ) -> None:
        store = CompetingWriteStore()
        store.faults.lose_replies = lost
        store.competing_value = record(urgency=0, retired=retired)
        store.competing_at = competing_at
        outcome = restore(store)
        has_competing_write = competing_at < store.swap_count
        kept = RestoreOutcome.KEPT_RETIRED if retired else RestoreOutcome.KEPT
        self.assertIs(kept if has_competing_write else RestoreOutcome.WRITTEN, outcome)
        expected = store.competing_value if has_competing_write else record()
        self.assertEqual(expected, store.values[KEY].value)
        self.assertLessEqual(len(store.history), 2)

    def test_the_outcome_is_unknown_if_no_reply_arrives(self) -> None:
        store = MemoryStore()
        store.faults.lose_replies = 99
        self.assertRaises(StoreOutcomeUnknownError, restore, store)
        self.assertEqual(1, len(store.history))
        store.faults.lose_replies = 0
        self.assertIs(RestoreOutcome.KEPT, restore(store))

    def test_an_unavailable_store_is_left_unchanged(self) -> None:
        store = MemoryStore()
        store.faults.down = True
        self.assertRaises(StoreUnavailableError, restore, store)
        self.assertEqual({}, store.values)

    def test_an_unreadable_record_is_not_saved(self) -> None:
        store = MemoryStore()
        store.write(KEY, b"?")
        error = self.assertRaises(
            TurmericusherError, lambda: asyncio.run(take_snapshot(store, PREFIX))
        )
        self.assertIn("revision=2", error.message)


@contextlib.contextmanager
def serving_store_in_thread(store: MemoryStore) -> Iterator[str]:
    """Serve a store from a thread of its own and yield its URL."""
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever)
    thread.start()
    server = running_store("127.0.0.1", 0, store)
    try:
        starting = asyncio.run_coroutine_threadsafe(server.__aenter__(), loop)
        yield f"http://{starting.result(20)}"
        ending = server.__aexit__(None, None, None)
        asyncio.run_coroutine_threadsafe(ending, loop).result(20)
    finally:
        loop.call_soon_threadsafe(loop.stop)
        thread.join()
        loop.close()


class CommandTest(TestCase):
    def run_command(self, command: object) -> tuple[int, str]:
        output = io.StringIO()
        with (
            contextlib.redirect_stdout(output),
            contextlib.redirect_stderr(output),
        ):
            status = run_reporting_errors(SnapshotCommand(command))
        return status, output.getvalue()

    def test_profiles_are_saved_and_restored_into_an_empty_store(self) -> None:
        directory = self.enterContext(tempfile.TemporaryDirectory())
        path = Path(directory, "profiles.json")
        full, empty = MemoryStore(), MemoryStore()
        full.write(KEY, record())
        with serving_store_in_thread(full) as url:
            status, text = self.run_command(Save(path, url, "/t/"))
        self.assertEqual(
            (0, f"{path}: saved, 1 profiles, 2 revision\n"), (status, text)
        )
        self.assertEqual(0, self.run_command(CheckFile(path))[0])
        with serving_store_in_thread(empty) as url:
            status, text = self.run_command(Restore(path, url, "/t/"))
            self.assertEqual(2, status)
            self.assertIn("--only-missing", text)
            self.assertEqual({}, empty.values)
            command = Restore(path, url, "/t/", only_missing=True)
            self.assertEqual(0, self.run_command(command)[0])
            again = self.run_command(command)
        self.assertEqual((0, f"{path}: restored, 1 kept\n"), again)
        self.assertEqual(record(), empty.values[KEY].value)

    def test_a_missing_file_is_reported_in_one_line(self) -> None:
        status, text = self.run_command(CheckFile(Path("/nowhere/profiles.json")))
        self.assertEqual((2, 1), (status, text.count("\n")))
        self.assertIn("/nowhere/profiles.json", text)
