"""Tests of the stand-in of the origin."""

from __future__ import annotations

from pathlib import Path

import aiohttp

from leadhollow.standin.origin import OriginStandin


class TestFolder:
    # a file in a folder given by a relative path was announced in full and broken off
    async def test_relative_folder_serves_whole_files(self, tmp_path, monkeypatch):
        monkeypatch.chdir(tmp_path)
        (tmp_path / "files").mkdir()
        (tmp_path / "files" / "weights").write_bytes(b"0123456789")
        origin = OriginStandin(folder=Path("files"), link_bytes_per_s=1e9)
        await origin.server.start()
        try:
            async with (
                aiohttp.ClientSession() as session,
                session.get(f"{origin.server.url}/weights") as response,
            ):
                assert await response.read() == b"0123456789"
        finally:
            await origin.server.stop()
