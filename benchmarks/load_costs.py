"""Processor time and memory of selection and admission on one entry instance.

Measured at growing numbers of upstreams and entry instances, and of queued requests.
"""

from __future__ import annotations

import random
import time
import tracemalloc
from collections.abc import Callable

from benchmarks.harness import parse_arguments, print_result
from turmericusher.decisions.admission import ServiceAdmission
from turmericusher.decisions.fair_queue import Ticket
from turmericusher.decisions.fleet import UpstreamInstance, UpstreamKind
from turmericusher.decisions.placing.selection import PickRequest, Selector
from turmericusher.decisions.placing.upstream_load import LoadReport

FLEET_SIZES = ((8, 13), (42, 320), (210, 1600), (420, 3200))
"""Pairs of entry instances and upstreams; the larger fleets have 12 services."""
MAX_SERVICES = 12
QUEUE_LENGTHS = (0, 100, 1000)
TEAMS = 1000
PICK_REPETITIONS = 500
ARRIVAL_REPETITIONS = 200
MICROSECONDS_PER_S = 1e6


def mean_processor_us(action: Callable[[], object], repetitions: int) -> float:
    """Return an action's mean processor time in microseconds over several calls."""
    started_at = time.process_time()
    for _ in range(repetitions):
        action()
    return (time.process_time() - started_at) / repetitions * MICROSECONDS_PER_S


def upstream(index: int, services: int) -> UpstreamInstance:
    """Return the upstream with this index; services get equal numbers of upstreams."""
    return UpstreamInstance(
        f"engine-{index}",
        f"s{index % services}",
        UpstreamKind.ENGINE,
        "127.0.0.1:1",
        f"d{index % 6}",
    )


def selector_with_reports(
    upstreams: list[UpstreamInstance], instance_names: list[str], seed: int
) -> Selector:
    """Return a selector with a load report of each upstream in its subsets."""
    selector = Selector(random.Random(seed), instance_names[0])
    selector.update(upstreams)
    selector.update_instances(instance_names)
    for name in frozenset[str]().union(*selector.subset_names.values()):
        selector.merge_report(name, LoadReport(8.0, 0.0))
    return selector


def selection_costs(instances: int, upstreams: int, seed: int) -> dict[str, object]:
    """Return the costs of one entry instance's selector in a fleet of this size."""
    services = MAX_SERVICES if upstreams > MAX_SERVICES * MAX_SERVICES else 1
    upstream_list = [upstream(index, services) for index in range(upstreams)]
    instance_names = [f"entry-{index}" for index in range(instances)]
    tracemalloc.start()
    selector = selector_with_reports(upstream_list, instance_names, seed)
    memory_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    new_selector = Selector(random.Random(seed), instance_names[0])
    new_selector.update(upstream_list)
    first_us = mean_processor_us(
        lambda: new_selector.update_instances(instance_names), 1
    )
    change_us = mean_processor_us(
        lambda: new_selector.update_instances(instance_names[:-1]), 1
    )
    request = PickRequest("s0")
    request_with_prefix = PickRequest("s0", prefix=b"prefix")
    return {
        "instances": instances,
        "upstreams": upstreams,
        "services": services,
        "covered_upstreams": len(selector.load.reports),
        "memory_kib": round(memory_bytes / 1024),
        "first_subset_ms": round(first_us / 1000, 2),
        "instance_change_ms": round(change_us / 1000, 2),
        "pick_us": round(
            mean_processor_us(lambda: selector.pick(request), PICK_REPETITIONS), 1
        ),
        "pick_by_prefix_us": round(
            mean_processor_us(
                lambda: selector.pick(request_with_prefix), PICK_REPETITIONS
            ),
            1,
        ),
    }


def admission_costs(queued: int, seed: int) -> dict[str, object]:
    """Return the costs of an arrival and of a tick with a queue of this length."""
    tracemalloc.start()
    admission = ServiceAdmission("s", random.Random(seed), limit=1)
    admission.submit(-1, Ticket("team", 5, 1e9, "s"), 0.0)
    for number in range(queued):
        ticket = Ticket(f"team-{number % TEAMS}", 5, 1e6 + number, "s")
        admission.submit(number, ticket, 0.0)
    memory_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()

    def arrive_and_leave() -> None:
        admission.submit(10**6, Ticket("newcomer", 5, 1e6, "s"), 0.0)
        admission.remove(10**6, 0.0)

    return {
        "queued": queued,
        "memory_kib": round(memory_bytes / 1024),
        "arrive_and_leave_us": round(
            mean_processor_us(arrive_and_leave, ARRIVAL_REPETITIONS), 1
        ),
        "look_us": round(
            mean_processor_us(lambda: admission.tick(1.0), ARRIVAL_REPETITIONS), 1
        ),
    }


def main() -> None:
    """Measure all fleet sizes and queue lengths and print the figures."""
    arguments = parse_arguments(__doc__ or "")
    result: dict[str, object] = {
        "selection": [selection_costs(*fleet, arguments.seed) for fleet in FLEET_SIZES],
        "admission": [
            admission_costs(queued, arguments.seed) for queued in QUEUE_LENGTHS
        ],
    }
    print_result("load_costs", arguments, result)


if __name__ == "__main__":
    main()
