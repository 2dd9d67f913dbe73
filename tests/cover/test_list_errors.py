"""An unexpected error of one part does not hold up what others learn of the store."""

from __future__ import annotations

from unittest.mock import patch

from parameterized import parameterized
from testtools import TestCase

from tests.common.asynchronous import run_async
from tests.common.relay_fixtures import configuration, running_relay_simulation
from tests.common.waiting import wait_until
from turmericusher.decisions.fleet import Lifecycle
from turmericusher.platform.names import CONFIGURATION_KEY

LIMIT_S = 2.0


class PartError(Exception):
    """An error that nobody expects."""


def fail(*_):
    raise PartError("unexpected")


PARTS = [
    ("the holders of copies", lambda shared: (shared.holders, "retain_listed")),
    ("the gate", lambda shared: (shared.gate, "retain_listed")),
    ("the versions", lambda shared: (shared.versions, "update_upstreams")),
    ("the crashes", lambda shared: (shared.crashes, "update_instances")),
    ("the loans", lambda shared: (shared.loans, "update_instances")),
    ("the limits", lambda shared: (shared.send_limits, "update_instances")),
]


class ListErrorTest(TestCase):
    @parameterized.expand(PARTS)
    @run_async
    async def test_changes_are_in_force_and_passed_on_despite_an_error_of(
        self, _, part
    ):
        async with running_relay_simulation(2) as simulation:
            node = simulation.node
            owner, method = part(node.shared)
            with patch.object(type(owner), method, fail):
                simulation.write_upstream_entry(0, "draining")
                simulation.store.store.write(CONFIGURATION_KEY, configuration(2))
                revision = simulation.store.store.revision
                upstreams = node.shared.selector.upstreams
                await wait_until(
                    lambda: (
                        node.shared.selector.upstreams["u0"].lifecycle
                        is Lifecycle.LEAVING
                        and node.tables.current().version == 2
                    ),
                    LIMIT_S,
                )
                await wait_until(
                    lambda: (node.shared.applied.revision or 0) >= revision, LIMIT_S
                )
                self.assertIn("u1", upstreams)
