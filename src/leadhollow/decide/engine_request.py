"""What a request asks of an engine, and the place that it gets."""

from __future__ import annotations

from collections.abc import Collection
from enum import IntEnum

from leadhollow.decide.server import Server
from leadhollow.decide.server_load import OwnCall
from leadhollow.routing.model import ServiceRecord

HOLD_SHARE = 0.3
"""Of the time that is left to a caller that does not come again: so long its request is kept for
room that is left over. Later than that its answer would hardly be whole in time."""


class QueuePriority(IntEnum):
    """Who goes before whom while requests wait.

    New requests go before those that came back, also after an outage: an answer on time is worth
    four late ones, counted from a caller's first try, and who came back is late already. A new one
    that is refused for the sake of another that came back comes back itself, so that everybody is
    late for as long as there is little to spare.
    """

    RESUMED = 0
    """It was begun, or sent, before: nothing is lost yet if it goes on at once."""

    NEW = 1
    CAME_BACK = 2
    """Its caller was refused before, here or at another entry."""


class EngineRequest:
    """What a request asks of an engine.

    Parameters
    ----------
    service
        Service whose engines may answer.
    objective_s
        Time that its kind of request has for the first event.
    on_time_s
        Loop time until which its first event is on time.
    decide_s
        Loop time at which it is placed late or refused.
    hold_s
        Loop time until which one whose caller will not come again, or that was begun, is kept for
        room that is left over, late as it will be; not before ``decide_s``.
    standing
        Who goes before whom.
    excluded
        Incarnations that must not be tried again.
    lost_domains
        Failure domains in which an engine broke the request off.
    last_attempt
        Whether it may run nowhere else after this, so that an engine which is about to change its
        weights should not get it.
    rank
        Urgency among those that are refused together, 0 first.
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
        "rank",
        "request_id",
        "service",
        "queue_priority",
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
        lost_domains: Collection[str] = (),
    ) -> None:
        self.lost_domains = lost_domains
        self.rank = rank
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
    """A place at an engine that a request has taken.

    Parameters
    ----------
    version
        Weights that the engine is thought to hold.
    expected_version
        Weights that the engine must hold, or else refuse; None while any will do.
    begin_by_s
        Loop time by which the first event must have come; later the weights are too old.
    """

    __slots__ = ("begin_by_s", "call", "expected_version", "server", "version")

    def __init__(
        self,
        *,
        server: Server,
        call: OwnCall,
        version: int,
        expected_version: int | None,
        begin_by_s: float,
    ) -> None:
        self.begin_by_s = begin_by_s
        self.server = server
        self.call = call
        self.version = version
        self.expected_version = expected_version


__all__ = ["HOLD_SHARE", "EngineWish", "Placement", "Standing"]
