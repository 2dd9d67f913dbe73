"""State machine: instances out of step neither join nor lose streams."""

from __future__ import annotations

from dataclasses import replace

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from tests.common.relay_fixtures import SERVICE, make_upstream
from turmericusher.decisions.stream_versions import (
    ASKED_COUNT,
    SavedStream,
    StoredVersion,
    StreamVersions,
    conclude_version,
)

NAMES = tuple(f"e{number}" for number in range(4))
VERSIONS = ("v1", "v2", "v3")
STEP_S = 0.5

instances = st.sampled_from(NAMES)


class StreamVersionsMachine(RuleBasedStateMachine):
    """Instances, one store, links that are cut, and versions that join and leave.

    `begun` maps each stream that runs to its instance and version. `heard` has the
    versions that an instance was told of. Messages to holders may be lost.
    """

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.listed = {"v1"}
        self.record = None
        self.records = {}
        self.cut_from_store, self.cut_from_peers = set(), set()
        self.instances = {}
        self.begun = {}
        self.count = 0
        for name in NAMES:
            self.restart(name)
        self.save_service(self.instances["e0"], "v1")
        for name in NAMES:
            self.hear(name)

    def restart(self, name):
        """Start an instance anew, without what it knew."""
        self.instances[name] = StreamVersions()
        self.instances[name].update_instances(name, NAMES)

    @rule(name=instances)
    def hear(self, name):
        """Bring an instance the list and the record of the service."""
        self.now += STEP_S
        if name in self.cut_from_store:
            return
        upstreams = [
            replace(make_upstream(index), version=version)
            for index, version in enumerate(sorted(self.listed))
        ]
        if self.record is not None:
            self.instances[name].record_saved(self.record, self.now)
        self.instances[name].update_upstreams(upstreams, self.now)

    @rule(version=st.sampled_from(VERSIONS))
    def join(self, version):
        self.listed.add(version)

    @rule(version=st.sampled_from(VERSIONS))
    def leave(self, version):
        if len(self.listed) > 1:
            self.listed.discard(version)

    @rule(name=instances, with_peers=st.booleans())
    def cut(self, name, with_peers):
        self.cut_from_store.add(name)
        if with_peers:
            self.cut_from_peers.add(name)

    @rule(name=instances, version=st.sampled_from(VERSIONS), with_peers=st.booleans())
    def release_behind_a_cut(self, name, version, with_peers):
        """Let a version join of which all instances hear but one."""
        self.cut(name, with_peers)
        self.join(version)
        for each in NAMES:
            self.hear(each)

    @rule(name=instances)
    def mend(self, name):
        self.cut_from_store.discard(name)
        self.cut_from_peers.discard(name)
        self.hear(name)

    @rule(name=instances)
    def lose(self, name):
        """Lose an instance with all that it knows; it starts again at once."""
        if name in self.cut_from_store:
            return
        self.restart(name)
        self.hear(name)

    def save_service(self, own, version):
        """Have the store know a version of the service, by compare-and-swap."""
        if self.record is not None:
            own.record_saved(self.record, self.now)
        if self.record is None or version not in self.record.versions:
            self.record = own.versions_with(SERVICE, version, self.now)
            own.record_saved(self.record, self.now)

    @rule(name=instances, data=st.data(), are_told=st.booleans())
    def begin(self, name, data, are_told):
        """Begin a stream at an instance, at a version that is open there."""
        own = self.instances[name]
        own.is_store_lost = name in self.cut_from_store
        closed = own.closed_versions(SERVICE, self.now)
        live = own.live.get(SERVICE, frozenset()) - closed
        if not live:
            return
        version = data.draw(st.sampled_from(sorted(live, reverse=True)))
        self.count += 1
        stream = f"q{self.count}"
        if own.must_record(stream, SERVICE, version, self.now):
            if name in self.cut_from_store:
                return
            own.begin_saving(stream, self.now)
            self.save_service(own, version)
            self.records[stream] = version
            own.finish_saving(SavedStream(stream, SERVICE, version))
        own.record_begin(stream, SERVICE, version, self.now)
        self.begun[stream] = version
        for holder, told in own.take_unsent().items():
            if are_told and not {name, holder} & self.cut_from_peers:
                for each in told:
                    self.instances[holder].record_known(each, self.now)

    def stored(self, name, stream):
        """Return what an instance reads in the store, None if it cannot."""
        if name in self.cut_from_store:
            return None
        version = self.records.get(stream)
        if version is None and self.record is not None:
            version = self.record.unrecorded
        return StoredVersion(version, self.record)

    @precondition(lambda self: self.begun)
    @rule(name=instances, data=st.data())
    def take_up(self, name, data):
        """Take a stream up at any instance: it goes on at its version or not at all."""
        stream = data.draw(st.sampled_from(list(self.begun)[:-6:-1]))
        own = self.instances[name].find(stream, SERVICE, self.now)
        if own.version is None:
            asked = self.instances[name].ranked(stream, ASKED_COUNT)
            reached = [each for each in asked if not {name, each} & self.cut_from_peers]
            answers = [
                self.instances[each].find(stream, SERVICE, self.now) for each in reached
            ]
            stored = self.stored(name, stream)
            own = conclude_version(own, len(asked), answers, stored)
            if stored is not None:
                assert own.may_go_on, f"{stream} is lost at {name}: {self.record}"
        assert own.version in (None, self.begun[stream]), (
            f"{stream} began at {self.begun[stream]} and goes on at {own.version}"
        )


StreamVersionsMachine.TestCase.settings = settings(
    max_examples=120, stateful_step_count=40, deadline=None, derandomize=True
)
StreamVersionsMachineTest = StreamVersionsMachine.TestCase
