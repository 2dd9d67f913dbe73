"""Converts records of upstream roll-outs to and from the store's keys and values."""

from __future__ import annotations

from collections import Counter
from typing import Annotated, Any

import msgspec

from turmericusher.decisions.rollouts.orders import (
    CountKey,
    Counts,
    InstanceReport,
    RolloutOrder,
    RolloutRecord,
    RolloutState,
    Status,
    Step,
    StoredHolder,
    StoredOrder,
    StoredReports,
    StoredState,
    StoredStatus,
)
from turmericusher.platform.decoding import WireModel, parse_or_log
from turmericusher.platform.names import (
    ROLLOUT_DECIDER_PREFIX,
    ROLLOUT_ORDER_PREFIX,
    ROLLOUT_REPORT_PREFIX,
    ROLLOUT_STATE_PREFIX,
    ROLLOUT_STATUS_PREFIX,
)

MAX_DURATION_S = 1e7

Duration = (
    Annotated[int, msgspec.Meta(gt=0, le=int(MAX_DURATION_S))]
    | Annotated[float, msgspec.Meta(gt=0, le=MAX_DURATION_S)]
)
Count = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
Row = tuple[bool, str, int, int, Count]
"""Whether it is the target's, the measure, load class and bucket, and the count."""

Rows = dict[str, tuple[Row, ...]]


class OrderModel(WireModel, frozen=True):
    """An order as the operator writes it; its key names the service."""

    target: str
    duration_s: Duration


class StatusModel(WireModel, frozen=True):
    """The status as the operator reads it."""

    state: str
    target: str


class StateModel(WireModel, frozen=True):
    """The decision on an order."""

    order: str
    target: str
    step: str
    began_at: float
    step_at: float
    term: int
    decider: str
    shares: dict[str, float]
    counts: Rows
    closed: frozenset[str]

    def __post_init__(self) -> None:
        """Raise `ValueError` for an unknown step, or an order without a revision."""
        if self.step.upper() not in Step.__members__:
            raise ValueError(f"step={self.step!r} is not known")
        int(self.order.partition(":")[0])


class HolderModel(WireModel, frozen=True):
    """The instance that decides."""

    instance: str


class ReportModel(WireModel, frozen=True):
    """What an instance tells of one order."""

    service: str
    order: str
    step: str | None
    old_runs: int
    old_unrepeatable: int
    counts: Rows


class ReportsModel(WireModel, frozen=True):
    """What an instance tells of all orders."""

    reports: tuple[ReportModel, ...]


class RolloutCodec:
    """Translates records of roll-outs to and from the store's keys and values."""

    def decode(
        self, key: str, value: bytes | None, revision: int
    ) -> RolloutRecord | None:
        """Return the record of a key, None if it is of another kind.

        It is empty if the key was deleted (`value` is None) or cannot be decoded.
        """
        event = "rollout_record_dropped"
        if key.startswith(ROLLOUT_ORDER_PREFIX):
            service = key.removeprefix(ROLLOUT_ORDER_PREFIX)
            model = parse_or_log(OrderModel, value, event, key=key) if value else None
            if model is None:
                return StoredOrder(service, None)
            order = RolloutOrder(
                service, model.target, float(model.duration_s), revision
            )
            return StoredOrder(service, order)
        if key.startswith(ROLLOUT_STATE_PREFIX):
            service = key.removeprefix(ROLLOUT_STATE_PREFIX)
            found = parse_or_log(StateModel, value, event, key=key) if value else None
            state = decode_state(service, found) if found is not None else None
            return StoredState(service, state, revision if value is not None else 0)
        if key.startswith(ROLLOUT_STATUS_PREFIX):
            service = key.removeprefix(ROLLOUT_STATUS_PREFIX)
            shown = parse_or_log(StatusModel, value, event, key=key) if value else None
            status = Status(shown.state, shown.target) if shown is not None else None
            return StoredStatus(service, status, revision if value is not None else 0)
        if key.startswith(ROLLOUT_DECIDER_PREFIX):
            service = key.removeprefix(ROLLOUT_DECIDER_PREFIX)
            held = parse_or_log(HolderModel, value, event, key=key) if value else None
            holder = held.instance if held is not None else None
            return StoredHolder(service, holder, revision if value is not None else 0)
        if key.startswith(ROLLOUT_REPORT_PREFIX):
            return StoredReports(key.removeprefix(ROLLOUT_REPORT_PREFIX), value)
        return None

    def decode_reports(self, instance: str, value: bytes) -> list[InstanceReport]:
        """Return what an instance tells; nothing if it is invalid."""
        model = parse_or_log(
            ReportsModel, value, "rollout_record_dropped", instance=instance
        )
        return [
            InstanceReport(
                instance,
                report.service,
                report.order,
                Step[report.step.upper()] if report.step is not None else None,
                report.old_runs,
                report.old_unrepeatable,
                decode_counts(report.counts),
            )
            for report in (model.reports if model is not None else ())
            if report.step is None or report.step.upper() in Step.__members__
        ]

    def encode_reports(
        self, instance: str, reports: list[InstanceReport]
    ) -> tuple[str, bytes]:
        """Return the key and the value of what an instance tells."""
        rows = [
            {
                "service": report.service,
                "order": report.order,
                "step": report.step.name.lower() if report.step is not None else None,
                "old_runs": report.old_runs,
                "old_unrepeatable": report.old_unrepeatable,
                "counts": encode_counts(report.counts),
            }
            for report in reports
        ]
        key = f"{ROLLOUT_REPORT_PREFIX}{instance}"
        return key, msgspec.json.encode({"reports": rows})

    def encode_state(self, state: RolloutState) -> tuple[str, bytes]:
        """Return the key and the value of a state."""
        model = {
            "order": state.order,
            "target": state.target,
            "step": state.step.name.lower(),
            "began_at": state.began_at,
            "step_at": state.step_at,
            "term": state.term,
            "decider": state.decider,
            "shares": dict(state.shares),
            "counts": encode_counts(state.counts),
            "closed": sorted(state.closed),
        }
        return f"{ROLLOUT_STATE_PREFIX}{state.service}", msgspec.json.encode(model)

    def encode_status(self, service: str, status: Status) -> tuple[str, bytes]:
        """Return the key and the value of a status."""
        model = {"service": service, "state": status.state, "target": status.target}
        return f"{ROLLOUT_STATUS_PREFIX}{service}", msgspec.json.encode(model)

    def encode_holder(self, service: str, instance: str) -> tuple[str, bytes]:
        """Return the key and the value that name the deciding instance."""
        value = msgspec.json.encode({"instance": instance})
        return f"{ROLLOUT_DECIDER_PREFIX}{service}", value


def decode_state(service: str, model: StateModel) -> RolloutState:
    """Return the state that a model describes."""
    return RolloutState(
        service=service,
        order=model.order,
        target=model.target,
        step=Step[model.step.upper()],
        began_at=model.began_at,
        step_at=model.step_at,
        term=model.term,
        decider=model.decider,
        shares=model.shares,
        counts=decode_counts(model.counts),
        closed=model.closed,
    )


def encode_counts(counts: Counts) -> dict[str, list[Any]]:
    """Return counts as rows for each route."""
    rows: dict[str, list[Any]] = {}
    for key, count in sorted(counts.items()):
        if count > 0:
            row = [key.is_target, key.measure, key.load, key.bucket, count]
            rows.setdefault(key.route, []).append(row)
    return rows


def decode_counts(rows: Rows) -> Counts:
    """Return the counts that rows for each route describe."""
    return Counter(
        {
            CountKey(route, is_target, measure, load, bucket): count
            for route, each in rows.items()
            for is_target, measure, load, bucket, count in each
        }
    )
