"""One engine's part in a stream: it is asked, it answers, and something is learnt of it."""

from __future__ import annotations

import asyncio
from http import HTTPStatus

from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.decide.engine_queue import EngineQueue
from leadhollow.decide.engine_request import Placement
from leadhollow.decide.retry_budget import RetryBudget
from leadhollow.failure import Failure
from leadhollow.forward.call import ForwardedCall
from leadhollow.forward.event_source import EventSource
from leadhollow.forward.exchange import AttemptEnd, AttemptFailure, BackendClient, Exchange
from leadhollow.forward.fingerprint import short_fingerprint
from leadhollow.forward.pool import CONNECT_TIMEOUT_S
from leadhollow.forward.server_directory import ServerDirectory
from leadhollow.forward.suspect_sync import SuspectSync
from leadhollow.http1.messages import Framing
from leadhollow.kernel import active_time
from leadhollow.observe.logs import get_logger

NEAR_BOUND_S = 3.0  # before weights become too old, a request must not be held up on its way
QUICK_CONNECT_S = 0.08  # many times the way between failure domains: the path is free
FIRST_EVENT_FACTOR = 2.5  # of the predicted time, and at least the objective
STALL_FACTOR = 2.0  # of the pause that a route calls on time
SHORTEST_STALL_S = 0.8

log = get_logger("stream")


class StreamContext:
    """What the streams of one entry share."""

    __slots__ = ("directory", "budget", "client", "queue", "suspects")

    def __init__(
        self,
        *,
        directory: ServerDirectory,
        budget: RetryBudget,
        client: BackendClient,
        queue: EngineQueue,
        suspects: SuspectSync,
    ) -> None:
        self.directory = directory
        self.budget = budget
        self.client = client
        self.queue = queue
        self.suspects = suspects


class ExcludedEngines:
    """Engines that one request is not sent to again.

    Attributes
    ----------
    instances
        Incarnations of those that failed it, and of those that it was silent at.
    lost_domains
        Failure domains of those that broke it off.
    """

    __slots__ = ("instances", "lost_domains")

    def __init__(self) -> None:
        self.instances: set[str] = set()
        self.lost_domains: set[str] = set()


class StreamAttempt:
    """A place at an engine, and what comes of it.

    Parameters
    ----------
    tried
        Where the request must not go again; this engine joins them if it fails.

    Attributes
    ----------
    asked_s
        When it was asked, by the clock of what could be heard.
    source
        Its answer; None before that.
    failed_answer
        An answer of the engine that is no stream, where it gave one.
    """

    __slots__ = (
        "_call",
        "_judged",
        "_noted",
        "_parts",
        "_tried",
        "sent_s",
        "failed_response",
        "placement",
        "source",
    )

    def __init__(
        self,
        *,
        context: StreamContext,
        call: ForwardedCall,
        placement: Placement,
        excluded: ExcludedEngines,
    ) -> None:
        self._parts = context
        self._call = call
        self._tried = excluded
        self._judged = False  # whether anything was learnt of the engine's health
        self._noted = False
        self.sent_s = active_time.active_s()
        self.placement = placement
        self.source: EventSource | None = None
        self.failed_response: Exchange | None = None

    @property
    def instance(self) -> str:
        """Incarnation of the engine."""
        return self.placement.server.instance.instance

    @property
    def awaiting_first_event(self) -> bool:
        """Whether nothing of an answer has come yet."""
        return self.placement.call.in_prefill and self.failed_response is None

    async def open(self, *, last_event_id: int | None) -> Result[EventSource, Failure]:
        """Send the request and wait for an answer that is a stream.

        Errors
        ------
        BACKEND_LOST, BACKEND_REFUSED, ENGINE_FAILED, and those of opening a connection
            Another engine may be asked; what is to be learnt of this one has been noted.
        """
        call, placement = self._call, self.placement
        call.record_dispatch(self.instance)
        self.sent_s = active_time.active_s()
        dispatch = call.dispatch(
            instance=self.instance,
            version=placement.expected_version,
            last_event_id=last_event_id,
        )
        call.attempts += 1  # taken back where it is certain that nothing ran
        near_bound = placement.begin_by_s - asyncio.get_running_loop().time() < NEAR_BOUND_S
        try:
            began = await self._parts.client.send(
                server=placement.server,
                own_call=placement.call,
                head=call.head,
                body=call.body,
                attempt_id=call.request_id,
                dispatch=dispatch,
                fresh=not call.route.repeatable or near_bound or call.sends > 1,
                connect_timeout_s=QUICK_CONNECT_S if near_bound else CONNECT_TIMEOUT_S,
            )
        except asyncio.CancelledError:
            if not placement.call.sent:
                self._take_back()
            raise
        if began.is_err():
            return Err(self._note_failure(began.unwrap_err()))
        exchange = began.unwrap()
        self.source = EventSource(exchange=exchange)
        if exchange.metadata.not_executed or exchange.status == HTTPStatus.MISDIRECTED_REQUEST:
            return Err(self._note_refused(exchange))
        if exchange.status != HTTPStatus.OK or not exchange.metadata.signed:
            return Err(self._note_failed_answer(exchange))
        return Ok(self.source)

    def close(self) -> None:
        """Give the place back, and let the engine stop where it still works."""
        if self.source is not None:
            self.source.exchange.abort()
        if not self._judged:
            self.placement.server.health.record_inconclusive()
        self._parts.queue.release(self.placement)

    def last_received_s(self) -> float:
        """Give when the engine was asked or last heard, by the clock of what could be heard."""
        return self.sent_s if self.source is None else self.source.last_received_s

    def first_event_timeout_s(self) -> float:
        """Give the silence that is expected before the first event."""
        return max(
            self._call.route.objective_ms / 1000,
            FIRST_EVENT_FACTOR * self.placement.call.predicted_ms / 1000,
            SHORTEST_STALL_S,
        )

    def silence_timeout_s(self) -> float:
        """Give the silence that is expected at most where the stream stands now."""
        if self.placement.call.in_prefill:
            return self.first_event_timeout_s()
        return max(SHORTEST_STALL_S, STALL_FACTOR * self._call.route.pause_objective_ms / 1000)

    def record_complete(self) -> None:
        """Note that the stream came to its end."""
        assert self.source is not None
        self._judged = True
        self.placement.server.health.record_success()
        if self.source.exchange.response.head.framing is not Framing.UNTIL_CLOSE:
            self._parts.suspects.record_success(self.placement.server, self._call.fingerprint)

    def record_silence(self) -> None:
        """Note an engine that writes nothing; new requests should rather go elsewhere."""
        self._tried.instances.add(self.instance)
        if self._noted:
            return
        self._parts.suspects.record_interruption(self.placement.server, self._call.fingerprint)
        self._learn_failure()
        log.warning("engine is silent", **self._fields())

    def record_lost(self, failure: Failure) -> None:
        """Note an engine that was sent the request and did not bring it to its end."""
        self._tried.instances.add(self.instance)
        self._tried.lost_domains.add(self.placement.server.instance.failure_domain)
        self._parts.suspects.record_interruption(self.placement.server, self._call.fingerprint)
        self._learn_failure()
        log.warning("stream broken", **self._fields(), failure=str(failure))

    def _learn_failure(self) -> None:
        """Take one failure into account, whether it shows as silence or as an end or as both."""
        if self._noted:
            return
        self._noted = self._judged = True
        server, now_s = self.placement.server, asyncio.get_running_loop().time()
        server.record_interruption(now_s)
        if self.placement.call.in_prefill:
            late_ms = active_time.active_since_s(self.placement.call.placed_s) * 1000
            late_ms -= self.placement.call.predicted_ms
            server.record_lateness(max(0.0, late_ms), now_s)

    def _fields(self) -> dict[str, object]:
        call = self._call
        return {
            "request": call.request_id,
            "fingerprint": short_fingerprint(call.fingerprint),
            "instance": self.instance,
            "address": self.placement.server.instance.address,
            "reading": self.placement.call.in_prefill,
            "silent_ms": round(call.silent_s() * 1000),
            "held_up_ms": round(call.stalled_s() * 1000),
        }

    def _note_failed_answer(self, exchange: Exchange) -> Failure:
        self._judged = True
        self.placement.server.health.record_failure(asyncio.get_running_loop().time())
        self._tried.instances.add(self.instance)
        self.failed_response = exchange
        log.warning(
            "engine failed",
            request=self._call.request_id,
            instance=self.instance,
            status=exchange.status,
            signed=exchange.metadata.signed,
        )
        return Failure(code=Code.ENGINE_FAILED, detail=f"status {exchange.status}")

    def _note_failure(self, failed: AttemptFailure) -> Failure:
        if failed.may_have_run:
            self.record_lost(failed.failure)
            return failed.failure
        self._tried.instances.add(self.instance)
        if failed.end is AttemptEnd.WITHHELD:
            self._take_back()
            log.info("engine withheld", request=self._call.request_id, failure=str(failed.failure))
            return failed.failure
        self._call.attempts -= 1
        if failed.end is AttemptEnd.NOT_SENT:
            self._judged = True
            self.placement.server.health.record_unreachable(asyncio.get_running_loop().time())
        log.warning(
            "attempt not sent",
            request=self._call.request_id,
            instance=self.instance,
            failure=str(failed.failure),
        )
        return failed.failure

    def _take_back(self) -> None:
        """Count the attempt no more, since nothing of it was sent."""
        self._call.attempts -= 1
        self._call.sends -= 1
        if self._call.sends:
            self._parts.budget.refund(self._call.service)

    def _note_refused(self, exchange: Exchange) -> Failure:
        """Take an engine's word that it did not run the request."""
        self._call.attempts -= 1
        self._tried.instances.add(self.instance)
        if exchange.metadata.instance not in (None, self.instance):
            self._parts.directory.record_instance_mismatch(self.instance)
        log.info(
            "engine refused",
            request=self._call.request_id,
            instance=self.instance,
            status=exchange.status,
            expected_version=self.placement.expected_version,
        )
        return Failure(code=Code.BACKEND_REFUSED, detail=f"status {exchange.status}")


__all__ = ["StreamAttempt", "StreamParts", "TriedEngines"]
