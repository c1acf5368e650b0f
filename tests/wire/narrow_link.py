"""A link that carries few bytes a second, between two loopback sockets."""

from __future__ import annotations

import asyncio

STEP_S = 0.02


class NarrowLink:
    """Passes on what a server sends at a pace, and what it is sent at once.

    Parameters
    ----------
    target
        Port of the server.
    bytes_per_s
        Speed from the server.

    Attributes
    ----------
    stands_still
        Whether nothing more comes from the server.
    passed
        Bytes that came from it.
    """

    def __init__(self, *, target: int, bytes_per_s: float) -> None:
        self.target = target
        self.bytes_per_s = bytes_per_s
        self.stands_still = False
        self.passed = 0
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        assert self._server is not None
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)

    async def stop(self) -> None:
        assert self._server is not None
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        from_server, to_server = await asyncio.open_connection("127.0.0.1", self.target)
        for work in (
            self._pass(reader, to_server, paced=False),
            self._pass(from_server, writer, paced=True),
        ):
            self._tasks.add(asyncio.get_running_loop().create_task(work))

    async def _pass(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *, paced: bool
    ) -> None:
        size = max(1, int(self.bytes_per_s * STEP_S)) if paced else 65_536
        try:
            while data := await reader.read(size):
                while paced and self.stands_still:
                    await asyncio.sleep(STEP_S)
                writer.write(data)
                if paced:
                    self.passed += len(data)
                    await asyncio.sleep(STEP_S)
        except OSError:
            pass
        finally:
            writer.close()
