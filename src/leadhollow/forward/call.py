"""State of one caller's request while it is forwarded."""

from __future__ import annotations

from bisect import bisect_left

from leadhollow.decide.eligibility import Regions
from leadhollow.forward.call_regions import CallRegions
from leadhollow.forward.dialect import DispatchMetadata, RequestMetadata
from leadhollow.forward.request_body import RequestBody
from leadhollow.http1.messages import RequestHead
from leadhollow.http1.reply import ReplyWriter
from leadhollow.kernel import active_time, clocks
from leadhollow.routing.model import Organisation, Route
from leadhollow.routing.ranks import Rank, rank_of

MAX_SENDS = 6  # including sends that servers refused


class ForwardedCall:
    """A caller's request and the state of its forwarding.

    Parameters
    ----------
    received_s
        Loop time at which the head of the request was complete.
    organisation
        Group of the caller; None on a public route.
    fingerprint
        Digest that all attempts of all callers at the same request share.
    parts
        Fingerprints of the prompt parts that other requests may share.
    bounds
        Regions in which the call may be served.
    ranks
        Distinct ranks that the route table gives the service, in ascending order.

    Attributes
    ----------
    traits
        Fingerprints of all that may make a server end: the request, then its prompt's parts.
    is_trial
        Whether it is sent once despite the quarantine of a part of its prompt.
    attempts
        Number of sends after which a backend server may have begun to run the request.
    sends
        Number of times the request was sent, including sends that were refused.
    last_instance
        Instance name of the backend server that got the request last; empty before the first send.
    last_contact_s
        Loop time at which the request was last sent, or bytes of a response last arrived.
    """

    __slots__ = (
        "_bounds",
        "attempts",
        "body",
        "deadline_s",
        "head",
        "is_trial",
        "last_contact_s",
        "last_instance",
        "metadata",
        "organisation",
        "ranks",
        "received_s",
        "reply",
        "route",
        "sends",
        "service",
        "stalled_before_s",
        "suspended_s",
        "traits",
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
        bounds: CallRegions,
        parts: tuple[bytes, ...] = (),
        ranks: tuple[Rank, ...] = (),
    ) -> None:
        self._bounds = bounds
        self.ranks = ranks
        self.traits = (fingerprint, *parts)
        self.head = head
        self.body = body
        self.metadata = metadata
        self.route = route
        self.service = service
        self.organisation = organisation
        self.reply = reply
        self.received_s = received_s
        self.suspended_s = clocks.suspended_s()
        self.deadline_s = call_deadline_s(route, metadata, received_s)
        self.is_trial = False
        self.attempts = 0
        self.sends = 0
        self.last_instance = ""
        self.last_contact_s = received_s
        self.stalled_before_s = active_time.clock().stalled_s()

    @property
    def request_id(self) -> str:
        """Attempt id that the caller assigned."""
        return self.metadata.attempt_id

    @property
    def fingerprint(self) -> bytes:
        """Digest that all attempts of all callers at the same request share."""
        return self.traits[0]

    @property
    def parts(self) -> tuple[bytes, ...]:
        """Fingerprints of the prompt parts that other requests may share."""
        return self.traits[1:]

    @property
    def regions(self) -> Regions | None:
        """Regions in which the request may be served now; None if all may serve it."""
        return self._bounds.allowed()

    @property
    def timeout_s(self) -> float:
        """Loop time at which the route's timeout expires."""
        return self.received_s + self.route.timeout_ms / 1000

    @property
    def objective_s(self) -> float:
        """Loop time until which a response is on time."""
        return self.received_s + self.route.objective_ms / 1000

    @property
    def rank(self) -> int:
        """Priority, 0 first; the priority of the group overrides that of the route."""
        return rank_of(self.route, self.organisation)[0]

    @property
    def urgency(self) -> int:
        """Number of ranks of the service that are more urgent."""
        if len(self.ranks) <= 1:
            return 0
        return bisect_left(self.ranks, rank_of(self.route, self.organisation))

    def may_be_sent(self) -> bool:
        """Return whether a backend server may be sent the request now.

        It must not have run, unless it may run again, and all of its body must be held.
        """
        if self.sends >= MAX_SENDS or self.attempts >= self.route.attempts:
            return False
        if not self.body.replayable or self.body.failure is not None:
            return False
        return self.attempts == 0 or self.route.repeatable

    def record_dispatch(self, instance: str) -> None:
        """Record that the request is sent to a backend server now."""
        self.last_instance = instance
        self.last_contact_s = clocks.steady_s()

    def silent_s(self) -> float:
        """Return the time since the request was last sent or bytes of a response last arrived."""
        return clocks.steady_s() - self.last_contact_s

    def stalled_s(self) -> float:
        """Return for how long the event loop has stalled since the request was received."""
        return active_time.clock().stalled_s() - self.stalled_before_s

    def remaining_ms(self) -> float:
        """Return the caller's remaining time; time in which this machine was suspended counts."""
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
        """Build the metadata that is sent to a backend server along with the request."""
        return DispatchMetadata(
            deadline_ms=max(1.0, self.remaining_ms()),
            instance=instance,
            organisation=None if self.organisation is None else self.organisation.name,
            version=version,
            last_event_id=last_event_id,
            urgency=urgency,
        )


def call_deadline_s(route: Route, metadata: RequestMetadata, received_s: float) -> float:
    """Return the loop time at which the route's timeout or the caller's own expires."""
    timeout_ms: float = route.timeout_ms
    if metadata.deadline_ms is not None:
        timeout_ms = min(timeout_ms, metadata.deadline_ms)
    return received_s + timeout_ms / 1000


__all__ = ["ForwardedCall", "call_deadline_s"]
