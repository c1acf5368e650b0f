"""Connections of callers whose requests get a response before their body was read."""

from __future__ import annotations

import asyncio
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.http1.early_answers import (
    KIB,
    MAX_BODY_BYTES,
    PIECE_BYTES,
    Case,
    drawn_cases,
    silent_cases,
)

SEED = 76

cases = st.builds(
    Case,
    body_bytes=st.integers(min_value=0, max_value=MAX_BODY_BYTES)
    | st.integers(min_value=250 * KIB, max_value=600 * KIB),
    in_pieces=st.booleans(),
    chunked=st.booleans(),
    pipelined=st.booleans(),
    read_bytes=st.integers(min_value=0, max_value=MAX_BODY_BYTES),
    turns=st.integers(min_value=0, max_value=2 * MAX_BODY_BYTES // PIECE_BYTES),
)


class TestConnectionAfterEarlyResponse:
    # Guards against: reading stays paused when a body that nobody reads ends above the bound.
    @pytest.mark.parametrize("body_kib", [257, 260, 300, 400, 800])
    @pytest.mark.parametrize("chunked", [False, True])
    async def test_answers_the_next_request(self, body_kib, chunked):
        case = Case(
            body_bytes=body_kib * KIB,
            in_pieces=True,
            chunked=chunked,
            pipelined=False,
            wait_s=0.05,
        )
        assert await silent_cases([case]) == []

    # Guards against: the same at a size or with a framing that nobody thought of.
    async def test_answers_the_next_request_at_every_size(self):
        assert await silent_cases(drawn_cases(random.Random(SEED), 80)) == []

    # Guards against: the same where the response is sent at another moment of the body.
    @settings(max_examples=80, deadline=None, derandomize=True, database=None)
    @given(case=cases)
    def test_answers_the_next_request_whenever_the_response_was_sent(self, case):
        assert asyncio.run(silent_cases([case])) == []
