"""A gate's client of stand-ins that send odd bytes with all of their answers."""

from __future__ import annotations

from leadhollow.backend.engine_client import EngineClient, EngineResponseHead
from leadhollow.http_client import HttpClient
from leadhollow.standin.odd_answers import NO_HTTP
from leadhollow.standin.plain_service import ServiceStandin
from leadhollow.wire.generated.ttypes import Dispatch

REQUESTS = 60
KINDS = {"interim", "copy", "late copy", "beginning", "no-http"}


class Sink:
    """Keeps a response."""

    def __init__(self) -> None:
        self.status = 0
        self.data = b""

    async def on_head(self, head: EngineResponseHead) -> None:
        self.status = head.status

    async def on_data(self, data: bytes) -> None:
        self.data += data


class TestOddAnswers:
    # Guards against: stand-ins that send nothing odd, and a client that takes it for an answer.
    async def test_are_all_sent_and_change_no_answer(self):
        service = ServiceStandin()
        service.faults.odd_share = 1.0
        await service.server.start()
        engine = EngineClient(http=HttpClient(), url=service.server.url)
        for number in range(REQUESTS):
            sink = Sink()
            body = b"order %d" % number
            dispatch = Dispatch(
                method="POST",
                path="/orders",
                headers={"X-Request-Id": f"r{number}"},
                body=body,
                deadline_ms=2_000,
            )
            assert (await engine.run(dispatch, sink)).is_ok()
            assert sink.status == 200
            assert b'"echo": "' + body + b'"' in sink.data
            assert NO_HTTP not in sink.data
        await service.server.stop()
        assert set(service.odd.counts) == KINDS


__all__: list[str] = []
