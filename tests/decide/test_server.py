"""Tests of a backend server as an entry sees it."""

from __future__ import annotations

import pytest

from leadhollow.decide.health import FAILURES_TO_EJECT
from leadhollow.decide.server import Server
from leadhollow.membership.instances import Instance, InstanceState
from leadhollow.wire.generated.ttypes import LoadRecord

ADDRESS = "127.0.0.1:9000"


def make_server(*, switching: bool) -> Server:
    server = Server(
        instance=Instance(
            instance="i",
            service="models",
            address=ADDRESS,
            failure_domain="a",
            sequence=1,
            state=InstanceState.READY,
            slots=4,
            served=(),
            heard_s=0.0,
        )
    )
    server.update_report(LoadRecord(address=ADDRESS, switching=switching), 1.0)
    return server


class TestInterruptedRequests:
    @pytest.mark.parametrize("switching", [True, False])
    def test_eject_an_engine_unless_it_announced_a_change_of_weights(self, switching):
        server = make_server(switching=switching)
        for _ in range(FAILURES_TO_EJECT):
            server.record_interruption(1.1)
        assert server.health.usable(1.1) is switching
