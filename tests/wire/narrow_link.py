"""TCP proxy on loopback that limits the rate of one direction."""

from __future__ import annotations

import asyncio

STEP_S = 0.02


class NarrowLink:
    """Forwards bytes from a server at a limited rate, and bytes to it at once.

    Parameters
    ----------
    target
        Port of the server.
    bytes_per_s
        Rate of bytes from the server.

    Attributes
    ----------
    blocked
        Whether bytes from the server are held back.
    forwarded_bytes
        Number of bytes forwarded from the server.
    """

    def __init__(self, *, target: int, bytes_per_s: float) -> None:
        self.target = target
        self.bytes_per_s = bytes_per_s
        self.blocked = False
        self.forwarded_bytes = 0
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
            self._forward(reader, to_server, limited=False),
            self._forward(from_server, writer, limited=True),
        ):
            self._tasks.add(asyncio.get_running_loop().create_task(work))

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *, limited: bool
    ) -> None:
        size = max(1, int(self.bytes_per_s * STEP_S)) if limited else 65_536
        try:
            while data := await reader.read(size):
                while limited and self.blocked:
                    await asyncio.sleep(STEP_S)
                writer.write(data)
                if limited:
                    self.forwarded_bytes += len(data)
                    await asyncio.sleep(STEP_S)
        except OSError:
            pass
        finally:
            writer.close()
