"""Forwards a stream: events are passed on whole, and a broken stream goes on elsewhere."""

from __future__ import annotations

import asyncio
from http import HTTPStatus

from leadhollow.codes import Code
from leadhollow.decide.attempts import UsualDeadlines
from leadhollow.decide.engine_queue import EngineQueue
from leadhollow.decide.retry_budget import RetryBudget
from leadhollow.decide.wish import EngineWish, Placement
from leadhollow.failure import Failure
from leadhollow.forward.board import ServerBoard
from leadhollow.forward.call import ForwardedCall
from leadhollow.forward.ending import Ending
from leadhollow.forward.exchange import AttemptEnd, AttemptFailure, Exchange, Exchanger
from leadhollow.forward.fingerprint import shown
from leadhollow.forward.passing import pass_on
from leadhollow.forward.places import place
from leadhollow.forward.pool import CONNECT_TIMEOUT_S
from leadhollow.forward.stream_relay import SHORTEST_STALL_S, StreamRelay
from leadhollow.forward.stream_wish import stream_wish
from leadhollow.forward.suspect_exchange import SuspectExchange
from leadhollow.http1.messages import Framing
from leadhollow.kernel import hearing
from leadhollow.kernel.hearing import deadline_at, heard_timeout
from leadhollow.observe.logs import get_logger
from leadhollow.routing.model import ServiceRecord

NEAR_BOUND_S = 3.0  # before weights become too old, a request must not be held up on its way
QUICK_CONNECT_S = 0.08  # many times the way between failure domains: the path is free
MOST_SENDS = 6  # refusals in the servers' own words included
FIRST_EVENT_FACTOR = 2.5  # of the predicted time, and at least the objective

log = get_logger("stream")


class StreamForwarder:
    """Forwards the streams of one entry."""

    __slots__ = ("_board", "_budget", "_deadlines", "_ending", "_exchanger", "_queue", "_suspects")

    def __init__(
        self,
        *,
        board: ServerBoard,
        budget: RetryBudget,
        ending: Ending,
        exchanger: Exchanger,
        queue: EngineQueue,
        suspects: SuspectExchange,
    ) -> None:
        self._suspects = suspects
        self._board = board
        self._budget = budget
        self._ending = ending
        self._exchanger = exchanger
        self._queue = queue
        self._deadlines = UsualDeadlines()

    async def run(self, call: ForwardedCall, service: ServiceRecord) -> None:
        """Forward one stream to its end."""
        deadline_ms = call.facts.deadline_ms
        came_back = deadline_ms is not None and self._deadlines.came_back(
            call.route.name, deadline_ms=deadline_ms, timeout_ms=call.route.timeout_ms
        )
        run = _StreamRun(forwarder=self, call=call, service=service, came_back=came_back)
        await run.run()

    @property
    def board(self) -> ServerBoard:
        """Backend servers."""
        return self._board

    @property
    def budget(self) -> RetryBudget:
        """Repeats that are left."""
        return self._budget

    @property
    def ending(self) -> Ending:
        """Answers of our own."""
        return self._ending

    @property
    def exchanger(self) -> Exchanger:
        """Attempts."""
        return self._exchanger

    @property
    def suspects(self) -> SuspectExchange:
        """Requests that end engines."""
        return self._suspects

    @property
    def queue(self) -> EngineQueue:
        """Requests that wait for an engine."""
        return self._queue


class _StreamRun:
    """One stream; it may be written by several engines one after the other."""

    __slots__ = (
        "_call",
        "_came_back",
        "_excluded",
        "_failure",
        "_forwarder",
        "_relay",
        "_service",
    )

    def __init__(
        self,
        *,
        forwarder: StreamForwarder,
        call: ForwardedCall,
        service: ServiceRecord,
        came_back: bool,
    ) -> None:
        self._came_back = came_back
        self._forwarder = forwarder
        self._call = call
        self._service = service
        self._excluded: set[str] = set()
        self._failure = Failure(code=Code.NO_CAPACITY)
        self._relay = StreamRelay(call=call)

    async def run(self) -> None:
        """Try engines until the stream is complete or given up."""
        call = self._call
        quarantine = self._forwarder.suspects.quarantine
        try:
            async with deadline_at(call.deadline_s) as limit:
                with quarantine.running(call, limit):
                    while not await self._attempt():
                        pass
        except TimeoutError:
            if quarantine.holds(call):
                await self._forwarder.ending.quarantined(call)
            else:
                await self._forwarder.ending.timed_out(call)

    async def _attempt(self) -> bool:
        """Make one attempt; True where the request has its ending."""
        call = self._call
        if self._may_try():
            await self._forwarder.suspects.quarantine.wait_for_verdict(call)
        if not self._may_try():
            await self._give_up()
            return True
        placed = await place(self._forwarder.queue, self._wish())
        if placed.is_err():
            self._failure = placed.unwrap_err()
            await self._give_up()
            return True
        placement = placed.unwrap()
        if call.sends and not self._forwarder.budget.take(call.service):
            self._forwarder.queue.release(placement)
            self._failure = Failure(code=Code.RETRIES_EXHAUSTED)
            await self._give_up()
            return True
        call.sends += 1
        try:
            return await self._send(placement)
        finally:
            self._forwarder.queue.release(placement)

    def _may_try(self) -> bool:
        call = self._call
        if self._forwarder.suspects.quarantine.holds(call):
            return False
        if call.sends == 0:
            return True
        if call.sends >= MOST_SENDS or call.attempts >= call.route.attempts:
            return False
        return call.attempts == 0 or (call.route.repeatable and call.body.whole)

    async def _give_up(self) -> None:
        call = self._call
        if self._forwarder.suspects.quarantine.holds(call):
            await self._forwarder.ending.quarantined(call)
        elif call.attempts == 0:
            retry_after_s = self._forwarder.queue.retry_after_s(self._wish())
            await self._forwarder.ending.not_run(call, self._failure, retry_after_s=retry_after_s)
        else:
            await self._forwarder.ending.unknown(call, self._failure)

    def _wish(self) -> EngineWish:
        return stream_wish(
            self._call,
            self._service,
            now_s=asyncio.get_running_loop().time(),
            came_back=self._came_back,
            begun=self._relay.begun,
            excluded=self._excluded,
        )

    async def _send(self, placement: Placement) -> bool:
        call = self._call
        instance = placement.server.instance
        call.note_asked(instance.instance)
        dispatch = call.dispatch(
            instance=instance.instance,
            version=placement.expected_version,
            last_event_id=self._relay.last_id,
        )
        call.attempts += 1  # taken back where it is certain that nothing ran
        first_by_heard_s = self._first_event_by(placement)
        near_bound = placement.begin_by_s - asyncio.get_running_loop().time() < NEAR_BOUND_S
        try:
            async with heard_timeout(first_by_heard_s - hearing.heard_s()) as limit:
                began = await self._forwarder.exchanger.begin(
                    server=placement.server,
                    running=placement.call,
                    head=call.head,
                    body=call.body,
                    attempt_id=call.request_id,
                    dispatch=dispatch,
                    fresh=not call.route.repeatable or near_bound,
                    connect_timeout_s=QUICK_CONNECT_S if near_bound else CONNECT_TIMEOUT_S,
                )
        except TimeoutError:
            if not limit.expired():
                raise
            detail = f"no answer in time, connected after {dispatch.connect_s:.3f} s"
            self._lost(placement, Failure(code=Code.BACKEND_LOST, detail=detail))
            return False
        if began.is_err():
            self._note_failure(placement, began.unwrap_err())
            return False
        exchange = began.unwrap()
        try:
            return await self._take_answer(placement, exchange, first_by_heard_s)
        finally:
            exchange.abort()

    def _first_event_by(self, placement: Placement) -> float:
        """Give the time, by what can be heard, after which a silent engine is taken for lost."""
        left_s = placement.begin_by_s - asyncio.get_running_loop().time()
        patience_s = max(
            self._call.route.objective_ms / 1000,
            FIRST_EVENT_FACTOR * placement.call.predicted_ms / 1000,
            SHORTEST_STALL_S,
        )
        return hearing.heard_s() + min(patience_s, left_s)

    async def _take_answer(
        self, placement: Placement, exchange: Exchange, first_by_heard_s: float
    ) -> bool:
        call = self._call
        if exchange.facts.not_executed or exchange.status == HTTPStatus.MISDIRECTED_REQUEST:
            self._refused(placement, exchange)
            return False
        if exchange.status != HTTPStatus.OK or not exchange.facts.signed:
            return await self._take_failure(placement, exchange)
        relayed = await self._relay.run(placement, exchange, first_by_heard_s)
        if relayed.is_err():
            self._lost(placement, relayed.unwrap_err())
            return False
        placement.server.health.note_success()
        if exchange.answer.head.framing is not Framing.UNTIL_CLOSE:
            self._forwarder.suspects.note_good(placement.server, call.fingerprint)
        return True

    async def _take_failure(self, placement: Placement, exchange: Exchange) -> bool:
        """Pass on an engine's own failure, unless another engine may try."""
        call = self._call
        placement.server.health.note_failure(asyncio.get_running_loop().time())
        self._excluded.add(placement.server.instance.instance)
        self._failure = Failure(code=Code.ENGINE_FAILED, detail=f"status {exchange.status}")
        log.warning(
            "engine failed",
            request=call.request_id,
            instance=placement.server.instance.instance,
            status=exchange.status,
            signed=exchange.facts.signed,
        )
        if self._may_try() or self._relay.begun:
            return False
        if not exchange.facts.signed and exchange.status < HTTPStatus.BAD_REQUEST:
            return False
        passed = await pass_on(call, exchange)
        if passed.is_err():
            self._forwarder.ending.broken_off(call, passed.unwrap_err())
        return True

    def _lost(self, placement: Placement, failure: Failure) -> None:
        """Note an engine that was sent the request and did not bring it to its end."""
        self._failure = failure
        self._forwarder.suspects.note_broken(placement.server, self._call.fingerprint)
        self._excluded.add(placement.server.instance.instance)
        now_s = asyncio.get_running_loop().time()
        placement.server.note_broken(now_s)
        if placement.call.reading:
            late_ms = (now_s - placement.call.placed_s) * 1000 - placement.call.predicted_ms
            placement.server.note_first_event(max(0.0, late_ms), now_s)
        log.warning(
            "stream broken",
            request=self._call.request_id,
            fingerprint=shown(self._call.fingerprint),
            instance=placement.server.instance.instance,
            address=placement.server.instance.address,
            last_event_id=self._relay.last_id,
            failure=str(failure),
            silent_ms=round(self._call.silent_s() * 1000),
            held_up_ms=round(self._call.held_s() * 1000),
        )

    def _note_failure(self, placement: Placement, failed: AttemptFailure) -> None:
        if failed.may_have_run:
            self._lost(placement, failed.failure)
            return
        self._call.attempts -= 1
        self._failure = failed.failure
        self._excluded.add(placement.server.instance.instance)
        if failed.end is AttemptEnd.WITHHELD:
            self._call.sends -= 1
            if self._call.sends:
                self._forwarder.budget.give_back(self._call.service)
            placement.server.health.note_neutral()
            log.info("engine withheld", request=self._call.request_id, failure=str(failed.failure))
            return
        now_s = asyncio.get_running_loop().time()
        if failed.end is AttemptEnd.NOT_SENT:
            placement.server.health.note_unreachable(now_s)
        log.warning(
            "attempt not sent",
            request=self._call.request_id,
            instance=placement.server.instance.instance,
            failure=str(failed.failure),
        )

    def _refused(self, placement: Placement, exchange: Exchange) -> None:
        """Take an engine's word that it did not run the request."""
        instance = placement.server.instance.instance
        self._call.attempts -= 1
        self._excluded.add(instance)
        self._failure = Failure(code=Code.BACKEND_REFUSED, detail=f"status {exchange.status}")
        placement.server.health.note_neutral()
        if exchange.facts.instance not in (None, instance):
            self._forwarder.board.wrong_instance(instance)
        log.info(
            "engine refused",
            request=self._call.request_id,
            instance=instance,
            status=exchange.status,
            expected_version=placement.expected_version,
        )


__all__ = ["StreamForwarder"]
