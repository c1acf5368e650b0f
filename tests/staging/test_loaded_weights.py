"""Tests of weights that were loaded from a stage whose content at that moment is uncertain."""

from __future__ import annotations

import asyncio

from leadhollow.staging.engine_dialect import LoadOrder
from tests.staging.engine_model import MODEL, InstallerSite, pieces_of, play, stand_still


class TestDoubtfulWeights:
    # Guards against: weights of an order that was accepted late serve although a piece was bad.
    def test_are_dropped_and_loaded_again(self):
        async def work() -> None:
            site = InstallerSite()
            site.engine.accept_after_s = [4.5]
            site.name(2)

            def before_call(name: str) -> None:
                if name == "report" and site.engine.orders:
                    site.engine.before_call = lambda name: None
                    now_s = asyncio.get_running_loop().time()
                    site.engine.at(now_s + 0.1, lambda: site.engine.damage(4))
                    stand_still(5.0)

            site.engine.before_call = before_call
            await site.run(12.0)
            assert [bool(load.faults) for load in site.engine.loads] == [True, False]
            assert site.wrong_weights_used == []
            assert site.serving == [2]
            assert not site.monitor.switching

        play(work)

    # Guards against: undamaged weights are dropped because their order was accepted late.
    def test_are_kept_if_all_pieces_still_match(self):
        async def work() -> None:
            site = InstallerSite()
            site.engine.answer_lost = [True]
            site.name(2)
            await site.run(6.0)
            assert len(site.engine.loads) == 1
            assert site.serving == [2]
            assert not site.monitor.switching

        play(work)

    # Guards against: a piece that is written again after the load hides that it was bad.
    def test_are_dropped_if_a_piece_was_written_since(self):
        async def work() -> None:
            site = InstallerSite()
            site.engine.accept_after_s = [4.5, None]
            site.name(2)

            def before_call(name: str) -> None:
                if name == "read" and site.engine.orders and not site.engine.damaged_s:
                    site.engine.damage(9)
                    site.engine.damaged_s[9] -= 2.0
                if name == "write" and site.engine.orders:
                    # The order is accepted while the repair of piece 9 is on its way.
                    site.engine.before_call = lambda name: None
                    stand_still(4.0)

            site.engine.before_call = before_call
            await site.run(14.0)
            assert site.engine.loads[0].faults
            assert not site.engine.loads[-1].faults
            assert site.wrong_weights_used == []
            assert site.serving == [2]

        play(work)


class TestOrderOfAFormerProcess:
    # Guards against: an order of a former process loads pieces that this one has staged.
    def test_is_noticed_when_it_is_accepted(self):
        async def work() -> None:
            site = InstallerSite(fetch_s=4.0)
            site.engine.stage = dict(enumerate(pieces_of(2)))
            former = LoadOrder(model=MODEL, version=2, preempt=True, expected_sequence=0)
            now_s = asyncio.get_running_loop().time()
            site.engine.at(now_s + 3.0, lambda: site.engine.accept(former))
            for number in (2, 3, 4):
                site.name(number)
            await site.run(12.0)
            assert [bool(load.faults) for load in site.engine.loads] == [True, False]
            assert site.wrong_weights_used == []
            assert site.serving == [4]

        play(work)
