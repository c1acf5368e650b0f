"""Emulated disks that track which content survives a loss of power.

Synced content survives. Of content written afterwards, any prefix may survive. A file that was
renamed since its folder was synced may still have its old content.
"""

from __future__ import annotations

import os
import random
import shutil
from pathlib import Path

_fsync = os.fsync
_replace = os.replace


class Disks:
    """The folders of all hosts, below one root."""

    def __init__(self, *, root: Path, seed: int) -> None:
        self.root = root
        self._random = random.Random(seed)
        self._synced: dict[str, bytes] = {}  # content of the file that has this path now
        self._durable: dict[str, bytes] = {}
        self._renamed: set[str] = set()
        self.ignore_syncs = False  # planted fault: nothing is ever synced

    def fsync(self, descriptor: int) -> None:
        path = str(Path(f"/proc/self/fd/{descriptor}").readlink())
        if not path.startswith(str(self.root)):
            _fsync(descriptor)
            return
        if self.ignore_syncs:
            return
        if Path(path).is_dir():
            for name in [found for found in self._renamed if str(Path(found).parent) == path]:
                self._durable[name] = self._synced[name]
                self._renamed.discard(name)
            return
        self._synced[path] = Path(path).read_bytes()
        if path not in self._renamed:
            self._durable[path] = self._synced[path]

    def replace(self, source, target, **_: object) -> None:
        _replace(source, target)
        before, after = str(source), str(target)
        if not after.startswith(str(self.root)):
            return
        self._durable.pop(before, None)
        self._synced[after] = self._synced.pop(before, b"")
        self._renamed.add(after)

    def wipe(self, host: str) -> None:
        """Delete the files of a host."""
        shutil.rmtree(self.root / host, ignore_errors=True)
        self._forget(host)

    def lose_power(self, host: str) -> None:
        """Reduce the files of a host to content that may survive a loss of power."""
        folder = self.root / host
        found = {str(path) for path in folder.rglob("*") if path.is_file()}
        own = {path for path in [*self._durable, *self._renamed] if self._belongs_to(path, host)}
        contents = {path: self._content_after_power_loss(path) for path in found | own}
        shutil.rmtree(folder, ignore_errors=True)
        self._forget(host)
        for path, content in contents.items():
            if content is None:
                continue
            Path(path).parent.mkdir(parents=True, exist_ok=True)
            Path(path).write_bytes(content)
            self._synced[path] = self._durable[path] = content

    def _content_after_power_loss(self, path: str) -> bytes | None:
        lasting = self._durable.get(path)
        if path in self._renamed:
            return self._random.choice([lasting, self._synced.get(path, b"")])
        current = Path(path).read_bytes() if Path(path).exists() else b""
        base = lasting or b""
        if lasting is None and self._random.random() < 0.5:
            return None
        if not current.startswith(base):
            return base
        return current[: self._random.randint(len(base), len(current))]

    def _belongs_to(self, path: str, host: str) -> bool:
        return path.startswith(str(self.root / host) + os.sep)

    def _forget(self, host: str) -> None:
        for kept in (self._synced, self._durable):
            for path in [path for path in kept if self._belongs_to(path, host)]:
                del kept[path]
        self._renamed = {path for path in self._renamed if not self._belongs_to(path, host)}


__all__ = ["Disks"]
