"""One request of a caller, with everything that is known of it."""

from __future__ import annotations

from leadhollow.forward.dialect import DispatchMetadata, RequestMetadata
from leadhollow.forward.request_body import RequestBody
from leadhollow.http1.messages import RequestHead
from leadhollow.http1.reply import ReplyWriter
from leadhollow.kernel import active_time, clocks
from leadhollow.routing.model import Organisation, Route


class ForwardedCall:
    """A request on its way to a backend server.

    Parameters
    ----------
    received_s
        Loop time at which its head was whole.
    organisation
        Group of its caller; None on a public route.
    fingerprint
        The same for all attempts of all clients at the same request.

    Attributes
    ----------
    attempts
        Backend servers that may have begun to work on it.
    sends
        Times that it was sent, refused ones included.
    engine
        Backend server that was asked last; empty before.
    last_heard_at_s
        Loop time at which it was asked, or was last heard from.
    """

    __slots__ = (
        "attempts",
        "body",
        "deadline_s",
        "last_instance",
        "metadata",
        "fingerprint",
        "head",
        "stalled_before_s",
        "last_contact_s",
        "organisation",
        "received_s",
        "reply",
        "route",
        "sends",
        "service",
        "suspended_s",
    )

    def __init__(
        self,
        *,
        head: RequestHead,
        body: RequestBody,
        metadata: RequestMetadata,
        route: Route,
        service: str,
        organisation: Organisation | None,
        reply: ReplyWriter,
        received_s: float,
        fingerprint: bytes,
    ) -> None:
        self.fingerprint = fingerprint
        self.head = head
        self.body = body
        self.metadata = metadata
        self.route = route
        self.service = service
        self.organisation = organisation
        self.reply = reply
        self.received_s = received_s
        self.suspended_s = clocks.suspended_s()
        self.deadline_s = received_s + route.timeout_ms / 1000
        if metadata.deadline_ms is not None:
            self.deadline_s = min(self.deadline_s, received_s + metadata.deadline_ms / 1000)
        self.attempts = 0
        self.sends = 0
        self.last_instance = ""
        self.last_contact_s = received_s
        self.stalled_before_s = active_time.clock().stalled_s()

    @property
    def request_id(self) -> str:
        """The caller's name of this attempt."""
        return self.metadata.attempt_id

    @property
    def timeout_s(self) -> float:
        """Loop time at which the route's timeout ends."""
        return self.received_s + self.route.timeout_ms / 1000

    @property
    def objective_s(self) -> float:
        """Loop time until which an answer is on time."""
        return self.received_s + self.route.objective_ms / 1000

    @property
    def rank(self) -> int:
        """Urgency, 0 first; that of its group goes before that of its route."""
        if self.organisation is not None and self.organisation.priority is not None:
            return self.organisation.priority
        return self.route.priority

    def record_dispatch(self, instance: str) -> None:
        """Note that a backend server is sent the request now."""
        self.last_instance = instance
        self.last_contact_s = clocks.steady_s()

    def silent_s(self) -> float:
        """Give the time since the backend server was asked or last heard from."""
        return clocks.steady_s() - self.last_contact_s

    def stalled_s(self) -> float:
        """Give the time for which this process was held up since the request came."""
        return active_time.clock().stalled_s() - self.stalled_before_s

    def remaining_ms(self) -> float:
        """Give what is left of the caller's time, which went on while this machine did not."""
        suspended_s = clocks.suspended_s() - self.suspended_s
        return (self.deadline_s - clocks.steady_s() - suspended_s) * 1000

    def dispatch(
        self,
        *,
        instance: str,
        version: int | None = None,
        last_event_id: int | None = None,
        urgency: int | None = None,
    ) -> DispatchMetadata:
        """Make what a backend server is told beside the request."""
        return DispatchMetadata(
            deadline_ms=max(1.0, self.remaining_ms()),
            instance=instance,
            organisation=None if self.organisation is None else self.organisation.name,
            version=version,
            last_event_id=last_event_id,
            urgency=urgency,
        )


__all__ = ["ForwardedCall"]
