"""Claims under any order of pauses, deaths, lost replies, repeats and deletions."""

from __future__ import annotations

from hypothesis import settings, strategies
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    consumes,
    invariant,
    precondition,
    rule,
)

from tests.common.claim_simulation import CLOCK_SKEW_S, ClaimSimulation, SimulatedKey
from tests.common.gated_ports import Fault

INSTANCES = (1, 2, 3)
instance_numbers = strategies.sampled_from(INSTANCES)
faults = strategies.lists(strategies.sampled_from(list(Fault)), min_size=1, max_size=3)
clock_errors = strategies.sampled_from([-CLOCK_SKEW_S / 2, 0.0, CLOCK_SKEW_S / 2])


class ClaimMachine(RuleBasedStateMachine):
    """Callers repeat requests while instances, peers, store and service fail."""

    keys = Bundle("keys")

    def __init__(self) -> None:
        super().__init__()
        self.simulation = ClaimSimulation()
        self.simulation.start_instances()

    @rule(target=keys, is_numbered=strategies.booleans(), error_s=clock_errors)
    def make_key(self, is_numbered: bool, error_s: float) -> SimulatedKey:
        return self.simulation.new_key(is_numbered, error_s)

    @rule(
        key=keys,
        number=instance_numbers,
        profile=strategies.sampled_from(["bookings", "bookings", "patient"]),
    )
    def send(self, key: SimulatedKey, number: int, profile: str) -> None:
        self.simulation.request(key, number, profile)

    @rule(key=consumes(keys), first=instance_numbers, second=instance_numbers)
    def send_concurrently(self, key: SimulatedKey, first: int, second: int) -> None:
        self.simulation.request(key, first)
        self.simulation.request(key, second)

    @rule(number=instance_numbers)
    def pause(self, number: int) -> None:
        self.simulation.instances[number].gate.opened.clear()

    @rule(number=instance_numbers)
    def resume(self, number: int) -> None:
        self.simulation.instances[number].gate.opened.set()
        self.simulation.run_ready()

    @rule(number=instance_numbers, error_s=clock_errors)
    def replace_instance(self, number: int, error_s: float) -> None:
        self.simulation.kill_instance(number)
        self.simulation.start_instance(number, error_s)

    @rule(number=instance_numbers, coming=faults)
    def fail_store_calls(self, number: int, coming: list[Fault]) -> None:
        self.simulation.instances[number].gate.faults[:] = coming

    @rule(number=instance_numbers, coming=faults)
    def fail_service_calls(self, number: int, coming: list[Fault]) -> None:
        self.simulation.instances[number].port.faults[:] = coming

    @rule(number=instance_numbers, coming=faults)
    def fail_peer_calls(self, number: int, coming: list[Fault]) -> None:
        self.simulation.instances[number].router.faults[:] = coming

    @rule(number=instance_numbers, owner=strategies.sampled_from([0, *INSTANCES]))
    def change_owner(self, number: int, owner: int) -> None:
        self.simulation.instances[number].router.owner = owner

    @rule(number=instance_numbers, is_cut=strategies.booleans())
    def partition_store(self, number: int, is_cut: bool) -> None:
        self.simulation.instances[number].store.is_disconnected = is_cut

    @rule(is_down=strategies.booleans())
    def set_store_down(self, is_down: bool) -> None:
        self.simulation.store.faults.down = is_down

    @precondition(lambda self: self.simulation.late_writes)
    @rule()
    def land_late_writes(self) -> None:
        self.simulation.apply_late_writes()
        self.simulation.run_ready()

    @rule(seconds=strategies.sampled_from([0.05, 0.3, 0.6, 2.5, 25.0]))
    def time_passes(self, seconds: float) -> None:
        self.simulation.advance(seconds)

    @rule(number=instance_numbers)
    def sweep(self, number: int) -> None:
        self.simulation.sweep(number)

    @invariant()
    def every_guarantee_holds(self) -> None:
        self.simulation.check_invariants()

    def teardown(self) -> None:
        self.simulation.close()


ClaimMachineTest = ClaimMachine.TestCase
ClaimMachineTest.settings = settings(max_examples=150, stateful_step_count=40)
