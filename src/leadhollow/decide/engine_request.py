"""What a request requires of an engine, and where it was placed."""

from __future__ import annotations

from collections.abc import Collection
from enum import IntEnum

from leadhollow.decide.eligibility import Regions
from leadhollow.decide.server import Server
from leadhollow.decide.server_load import OwnCall
from leadhollow.routing.model import ServiceRecord

HOLD_SHARE = 0.3
"""Share of the time left to a caller's last attempt for which its request is held until a slot is
left over. With less time left its response would hardly be complete in time."""


class QueuePriority(IntEnum):
    """Order in which waiting requests are placed.

    New requests go before retries of callers, also after an outage. A response on time is worth
    four late ones, counted from the first attempt of a caller, and a retry is late already. If new
    requests were refused in favour of retries, they would become retries themselves, and all
    requests would be late while capacity is short.
    """

    RESUMED = 0
    """The request was started or sent before. Nothing is lost if it continues at once."""

    NEW = 1
    CAME_BACK = 2
    """The caller was refused before, here or at another entry."""


class EngineRequest:
    """What a request requires of an engine.

    Parameters
    ----------
    service
        Service whose engines may take the request.
    objective_s
        Time to first event that is the objective for this kind of request.
    on_time_until_s
        Loop time until which the first event is on time.
    decide_by_s
        Loop time at which the request is placed late or refused.
    hold_until_s
        Loop time until which the request is held for a slot that is left over, even if it will be
        late. For a caller that will not retry and for a resumed stream; not before
        ``decide_by_s``.
    queue_priority
        Order among waiting requests.
    excluded
        Instances that must not be tried again.
    lost_domains
        Failure domains in which an engine interrupted the request.
    last_attempt
        Whether the request cannot be sent again after this, so that it should avoid engines that
        are about to change their weights.
    rank
        Urgency among requests that are refused together; 0 is the most urgent.
    urgency
        Place of the rank among those that the route table gives the service; 0 is the most urgent.
        Always 0 if it gives the service only one.
    urgencies
        Number of distinct ranks that the route table gives the service.
    regions
        Regions in which the request may be served; None if all may serve it.
    """

    __slots__ = (
        "decide_by_s",
        "excluded",
        "hold_until_s",
        "last_attempt",
        "lost_domains",
        "model",
        "objective_s",
        "on_time_until_s",
        "organisation",
        "output_tokens",
        "prompt_tokens",
        "queue_priority",
        "rank",
        "regions",
        "request_id",
        "service",
        "urgencies",
        "urgency",
    )

    def __init__(
        self,
        *,
        service: ServiceRecord,
        model: str,
        prompt_tokens: int,
        output_tokens: float,
        objective_s: float,
        on_time_until_s: float,
        decide_by_s: float,
        hold_until_s: float,
        queue_priority: QueuePriority,
        organisation: str,
        request_id: str,
        excluded: set[str],
        last_attempt: bool,
        rank: int = 0,
        urgency: int = 0,
        urgencies: int = 1,
        lost_domains: Collection[str] = (),
        regions: Regions | None = None,
    ) -> None:
        self.lost_domains = lost_domains
        self.regions = regions
        self.rank = rank
        self.urgency = urgency
        self.urgencies = urgencies
        self.service = service
        self.model = model
        self.prompt_tokens = prompt_tokens
        self.output_tokens = output_tokens
        self.objective_s = objective_s
        self.on_time_until_s = on_time_until_s
        self.decide_by_s = decide_by_s
        self.hold_until_s = hold_until_s
        self.queue_priority = queue_priority
        self.organisation = organisation
        self.request_id = request_id
        self.excluded = excluded
        self.last_attempt = last_attempt


class Placement:
    """A slot at an engine that a request has taken.

    Parameters
    ----------
    version
        Version of the weights that the engine is believed to hold.
    expected_version
        Version that the engine must hold, or else refuse the request; None if any version will do.
    begin_by_s
        Loop time by which the first event must have arrived. After that the weights are too old.
    engine_priority
        Priority that the engine is told, 0 first; None if the service knows only one.
    """

    __slots__ = (
        "begin_by_s",
        "call",
        "engine_priority",
        "expected_version",
        "server",
        "version",
    )

    def __init__(
        self,
        *,
        server: Server,
        call: OwnCall,
        version: int,
        expected_version: int | None,
        begin_by_s: float,
        engine_priority: int | None = None,
    ) -> None:
        self.engine_priority = engine_priority
        self.begin_by_s = begin_by_s
        self.server = server
        self.call = call
        self.version = version
        self.expected_version = expected_version


__all__ = ["HOLD_SHARE", "EngineRequest", "Placement", "QueuePriority"]
