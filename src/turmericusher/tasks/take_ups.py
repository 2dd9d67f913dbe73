"""Has the earlier run of a stream end when its caller takes the stream up again."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field
from typing import Protocol

from turmericusher.decisions.relay import Relay
from turmericusher.decisions.relay_messages import RelayedRequest
from turmericusher.decisions.routing import RoutedRequest
from turmericusher.decisions.take_ups import TakeUp, find_take_up
from turmericusher.logs import log_event


class RunOwner(Protocol):
    """The owner of a request in progress."""

    @property
    def relay(self) -> Relay:
        """The decisions on the request."""
        ...

    def end_taken_up(self, by: str) -> None:
        """End all work for the request, as its caller goes on by the request `by`."""
        ...


@dataclass(slots=True)
class TakeUps:
    """Ends runs of streams that are taken up; `owners` are the requests in progress."""

    owners: Collection[RunOwner] = field(default_factory=set)

    def begin(self, request: RelayedRequest, routed: RoutedRequest) -> None:
        """Have the earlier run end if a request takes a stream up."""
        take_up = find_take_up(request, routed)
        if take_up is not None:
            self.end_earlier_runs(take_up)

    def end_earlier_runs(self, take_up: TakeUp) -> int:
        """End the runs here that a request has taken up; return how many there were."""
        ended = [
            owner
            for owner in self.owners
            if take_up.ends(owner.relay.request, owner.relay.routed)
        ]
        for owner in ended:
            log_event(
                "earlier_run_ended",
                id=owner.relay.request.request_id,
                stream=take_up.stream,
                taken_up_by=take_up.request_id,
                upstream=owner.relay.last_upstream or None,
                position=owner.relay.position,
            )
            owner.end_taken_up(take_up.request_id)
        return len(ended)
