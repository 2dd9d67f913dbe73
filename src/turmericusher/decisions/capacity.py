"""How many requests one entry instance may run at once on a service.

The entry instances decide independently, without agreement. Each may always use its
share of the service's capacity, and borrows from what the peers' latest in-flight
counts show to be unused.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

PRESSURE_DECREASE = 0.9
PRESSURE_INCREASE = 0.02
PRESSURE_FLOOR = 0.5
QUEUEING_THRESHOLD = 0.1
"""Share of a service's capacity that may be queued inside its upstreams before the
limit is lowered."""


@dataclass(frozen=True, slots=True)
class CapacityView:
    """What an instance knows about a service's capacity.

    `upstreams` and `entry_instances` count the live ones; the latter includes this
    instance. `peers_in_flight` is the number of requests that the other instances
    reported as running. `waiting` is the number of requests that the upstreams report
    as queued inside them.
    """

    upstreams: int
    capacity_per_upstream: int
    entry_instances: int
    peers_in_flight: int = 0
    waiting: float = 0.0


@dataclass(slots=True)
class ConcurrencyLimit:
    """The limit of one instance; `pressure` lowers it while upstreams queue.

    While an instance still runs more than its limit, it is already reducing its load
    and `pressure` does not change: otherwise the queues that follow the loss of a
    failure domain would take away the remaining capacity as well.

    Additive increase and multiplicative decrease (Chiu and Jain, 1989) make instances
    that see the same queues reduce their load evenly.
    """

    pressure: float = 1.0
    limit: int = 0

    def update(self, view: CapacityView, own_in_flight: int) -> int:
        """Return the new limit; must be called at a fixed interval."""
        total = view.upstreams * view.capacity_per_upstream
        if total <= 0:
            return 0
        is_draining = 0 < self.limit < own_in_flight
        if not is_draining:
            self.adjust_pressure(view.waiting / total)
        usable = total * self.pressure
        instances = max(1, view.entry_instances)
        share = usable / instances
        unused = usable - view.peers_in_flight - own_in_flight
        borrowed = own_in_flight + unused / instances if unused > 0 else 0.0
        self.limit = max(1, math.floor(max(share, borrowed)))
        return self.limit

    def adjust_pressure(self, queued_share: float) -> None:
        """Lower the pressure factor while upstreams queue, else raise it slowly."""
        if queued_share > QUEUEING_THRESHOLD:
            self.pressure = max(PRESSURE_FLOOR, self.pressure * PRESSURE_DECREASE)
        else:
            self.pressure = min(1.0, self.pressure + PRESSURE_INCREASE)
