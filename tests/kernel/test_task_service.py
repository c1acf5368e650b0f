"""Services whose work ends by an error."""

from __future__ import annotations

import asyncio

from leadhollow.kernel.task_service import TaskService
from tests.support import eventually


class Failing(TaskService):
    """Fails twice, then works on."""

    def __init__(self) -> None:
        super().__init__()
        self.begun = 0

    async def _work(self) -> None:
        self.begun += 1
        if self.begun < 3:
            raise RuntimeError("planted")
        await asyncio.Event().wait()


class TestWorkThatEndsByAnError:
    # Guards against: a service that does nothing any more, and no line that says so.
    async def test_is_logged_and_begun_again(self, monkeypatch):
        lines: list[dict[str, object]] = []

        class Recorder:
            def error(self, message: str, **fields: object) -> None:
                lines.append({"message": message, **fields})

        monkeypatch.setattr("leadhollow.kernel.task_service.log", Recorder())
        service = Failing()
        await service.start()
        await eventually(lambda: service.begun == 3, "work that goes on")
        assert [line["service"] for line in lines] == ["Failing", "Failing"]
        assert "planted" in str(lines[0]["error"])
        await service.stop()
        assert service.begun == 3
