"""Task services whose work raises an exception."""

from __future__ import annotations

import asyncio

from leadhollow.kernel.task_service import TaskService
from tests.support import eventually


class Failing(TaskService):
    """Fails twice, then keeps running."""

    def __init__(self) -> None:
        super().__init__()
        self.starts = 0

    async def _work(self) -> None:
        self.starts += 1
        if self.starts < 3:
            raise RuntimeError("planted")
        await asyncio.Event().wait()


class TestFailedWork:
    # Guards against: a service stops working and no log line says so.
    async def test_is_logged_and_restarted(self, monkeypatch):
        lines: list[dict[str, object]] = []

        class Recorder:
            def error(self, message: str, **fields: object) -> None:
                lines.append({"message": message, **fields})

        monkeypatch.setattr("leadhollow.kernel.task_service.log", Recorder())
        service = Failing()
        await service.start()
        await eventually(lambda: service.starts == 3, "work that goes on")
        assert [line["service"] for line in lines] == ["Failing", "Failing"]
        assert "planted" in str(lines[0]["error"])
        await service.stop()
        assert service.starts == 3
