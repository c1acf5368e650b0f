"""Seeded exchanges with a server that does every odd thing, judged by the model of its bytes."""

from __future__ import annotations

import pytest

from tests.forward.answer_model import Plan, own_readings
from tests.forward.odd_server import answer
from tests.forward.planned_server import REQUESTS, SERVERS, play


class TestExchangesWithAnOddServer:
    # Guards against: any mixture of odd bytes, cut anywhere, that passes for a request's answer.
    @pytest.mark.parametrize("kind", ["plain", "stream"])
    async def test_pass_on_own_answers_only(self, kind):
        judgement = await play(kind, seed=1)
        assert judgement.wrong == []
        assert judgement.counts["own"] > 0.3 * SERVERS * REQUESTS


class TestModel:
    # Guards against: a model that lets answers of other requests pass.
    def test_takes_own_answers_only(self):
        plan = Plan(request_id="bb", own=(200, "bb", b"bb."))
        plan.first = False
        plan.pieces = [(answer("aa", size=1) + answer("bb", size=1), 0.0)]
        assert own_readings(plan) == [plan.own]
        plan.pieces = [(answer("aa", size=1, named=False) + answer("bb", size=1), 0.0)]
        assert own_readings(plan) == []

    # Guards against: a model that lets pass what a second answer has filled up.
    def test_takes_no_body_with_a_second_answer(self):
        plan = Plan(request_id="bb", own=(200, "bb", b"bb." * 20))
        plan.pieces = [(answer("bb")[:-20] + answer("aa"), 0.0)]
        assert own_readings(plan) == []


__all__: list[str] = []
