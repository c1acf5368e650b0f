"""Tests of how an entry applies the quarantine to calls."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any

import pytest

from leadhollow.decide.fingerprints import PART_TAG
from leadhollow.decide.quarantine_trials import QuarantineTrials
from leadhollow.decide.server_ends import ServerEnd, Verdict
from leadhollow.decide.suspects import SuspectTable
from leadhollow.forward.quarantine import Quarantine

REQUEST = b"r" * 16
PART = b"p" * 12 + PART_TAG


class FakeCall:
    def __init__(self, *, sends: int) -> None:
        self.traits = (REQUEST, PART)
        self.sends = sends
        self.reply = SimpleNamespace(started=False)
        self.is_trial = False


def make_call(*, sends: int = 1) -> Any:
    return FakeCall(sends=sends)


def make_quarantine() -> Quarantine:
    clock = asyncio.get_running_loop().time
    table = SuspectTable(clock=clock)
    trials = QuarantineTrials(table=table, entries=lambda: 1, clock=clock, seed=1)
    return Quarantine(table=table, trials=trials)


def end_server(quarantine: Quarantine, *ran: bytes, life: str = "i-1@1") -> None:
    now_s = asyncio.get_running_loop().time()
    quarantine.table.merge_end(ServerEnd(life=life, ran=ran, happened_s=now_s))


async def waits(quarantine: Quarantine, call: Any) -> bool:
    waiting = asyncio.ensure_future(quarantine.wait_for_verdict(call))
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    done = waiting.done()
    await waiting
    return not done


class TestQuarantine:
    # Without this, entries would know a crashing part and still send requests that have it.
    @pytest.mark.parametrize("trait", [REQUEST, PART])
    async def test_holds_a_call_by_any_of_its_traits(self, trait):
        quarantine = make_quarantine()
        assert not quarantine.is_quarantined(make_call())
        quarantine.table.merge_verdict(
            Verdict(fingerprint=trait, number=1, released=False, lives=(), since_s=0.0)
        )
        assert quarantine.is_quarantined(make_call())
        assert not quarantine.admits(make_call())

    # A trial that ended its server would be sent to the next one.
    async def test_holds_a_trial_after_its_first_send(self):
        quarantine = make_quarantine()
        quarantine.table.merge_verdict(
            Verdict(fingerprint=PART, number=1, released=False, lives=(), since_s=0.0)
        )
        call = make_call(sends=0)
        call.is_trial = True
        assert not quarantine.is_quarantined(call)
        call.sends = 1
        assert quarantine.is_quarantined(call)

    async def test_aborts_the_running_calls_that_have_a_part(self):
        quarantine = make_quarantine()
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(60) as limit:
                with quarantine.track(make_call(), limit):
                    quarantine.table.merge_verdict(
                        Verdict(fingerprint=PART, number=1, released=False, lives=(), since_s=0.0)
                    )
                    quarantine.abort_calls([PART])
                    await asyncio.sleep(30)
        quarantine.abort_calls([PART])  # nothing of the call is left

    # Without it, all answers that could show that a verdict on a popular part is wrong were cut.
    @pytest.mark.parametrize(("trait", "goes_on"), [(REQUEST, False), (PART, True)])
    async def test_lets_an_answer_that_has_begun_go_on_under_a_part(self, trait, goes_on):
        quarantine = make_quarantine()
        call = make_call()
        call.reply.started = True
        async with asyncio.timeout(60) as limit:
            with quarantine.track(call, limit):
                quarantine.table.merge_verdict(
                    Verdict(fingerprint=trait, number=1, released=False, lives=(), since_s=0.0)
                )
                quarantine.abort_calls([trait])
                assert (limit.when() > asyncio.get_running_loop().time() + 30) == goes_on
                limit.reschedule(None)


class TestRetryOfACall:
    # The retry of a request that had ended its server ended the next one before any verdict.
    @pytest.mark.parametrize("trait", [REQUEST, PART])
    async def test_waits_if_a_trait_may_have_ended_another_server(self, trait):
        quarantine = make_quarantine()
        end_server(quarantine, trait)
        assert await waits(quarantine, make_call())

    async def test_leaves_at_once_without_suspicion(self):
        quarantine = make_quarantine()
        end_server(quarantine, REQUEST, PART)
        quarantine.table.clear(REQUEST)
        quarantine.table.clear(PART)
        assert not await waits(quarantine, make_call())

    async def test_does_not_delay_a_first_send(self):
        quarantine = make_quarantine()
        end_server(quarantine, REQUEST, PART)
        assert not await waits(quarantine, make_call(sends=0))
