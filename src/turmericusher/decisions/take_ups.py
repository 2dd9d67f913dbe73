"""Which earlier runs of a stream end when its caller takes the stream up again.

A caller whose connection has died sends a further request, which names the stream and
may come to any instance. The instance that runs the earlier request may not notice for
minutes that its caller is gone, and its engine works on. The caller has left it by
taking the stream up, so that run ends.

Only a request of the same team that names the stream's first request ends a run. It
never ends a later one: what it says may arrive after its caller has left it, too.
"""

from __future__ import annotations

from dataclasses import dataclass

from turmericusher.decisions.relay_messages import RelayedRequest
from turmericusher.decisions.routing import RequestKind, RoutedRequest


@dataclass(frozen=True, slots=True)
class TakeUp:
    """A request by which a caller goes on with a stream.

    `stream` is the id of the request that brought the stream's first event, and `team`
    that of the key of the one that takes it up; "" where there are no teams.
    `resume_after` is the id of the last event that the caller has, and `arrived_at` is
    in monotonic seconds.
    """

    stream: str
    request_id: str
    team: str
    resume_after: int
    arrived_at: float

    def ends(self, request: RelayedRequest, routed: RoutedRequest) -> bool:
        """Whether a request in progress ends, as its caller goes on by this one.

        A request that began at a later event is a later one. One with the same id is
        this one, which another instance has forwarded.
        """
        return (
            routed.route.kind is RequestKind.RESUMABLE_STREAM
            and request.stream_id == self.stream
            and routed.team == self.team
            and request.request_id != self.request_id
            and request.arrived_at < self.arrived_at
            and (request.resume_after or 0) <= self.resume_after
        )


def find_take_up(request: RelayedRequest, routed: RoutedRequest) -> TakeUp | None:
    """Return how a request takes a stream up, or None if it does not.

    One that another instance forwards does not: the stream may go on so without its
    caller, who may have taken it up elsewhere meanwhile.
    """
    if request.hop is not None:
        return None
    if routed.route.kind is not RequestKind.RESUMABLE_STREAM:
        return None
    if request.resumes is None or request.resume_after is None:
        return None
    return TakeUp(
        request.resumes,
        request.request_id,
        routed.team,
        request.resume_after,
        request.arrived_at,
    )
