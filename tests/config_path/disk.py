"""A file layer under the real one that knows what would last through a loss of power.

What was synced lasts. Of what was written after, any beginning may be there; a file that was
renamed since its folder was synced may still be the old one.
"""

from __future__ import annotations

import os
import random
import shutil
from pathlib import Path

_fsync = os.fsync
_replace = os.replace


class Disks:
    """Folders of all hosts below one root."""

    def __init__(self, *, root: Path, seed: int) -> None:
        self.root = root
        self._random = random.Random(seed)
        self._synced: dict[str, bytes] = {}  # of the file that has this path now
        self._lasting: dict[str, bytes] = {}
        self._renamed: set[str] = set()
        self.forget_syncs = False  # a mutant: nothing is ever synced

    def fsync(self, descriptor: int) -> None:
        path = str(Path(f"/proc/self/fd/{descriptor}").readlink())
        if not path.startswith(str(self.root)):
            _fsync(descriptor)
            return
        if self.forget_syncs:
            return
        if Path(path).is_dir():
            for name in [found for found in self._renamed if str(Path(found).parent) == path]:
                self._lasting[name] = self._synced[name]
                self._renamed.discard(name)
            return
        self._synced[path] = Path(path).read_bytes()
        if path not in self._renamed:
            self._lasting[path] = self._synced[path]

    def replace(self, source, target, **_: object) -> None:
        _replace(source, target)
        before, after = str(source), str(target)
        if not after.startswith(str(self.root)):
            return
        self._lasting.pop(before, None)
        self._synced[after] = self._synced.pop(before, b"")
        self._renamed.add(after)

    def wipe(self, host: str) -> None:
        """Lose a disk."""
        shutil.rmtree(self.root / host, ignore_errors=True)
        self._forget(host)

    def lose_power(self, host: str) -> None:
        """Leave of a host's files what may be left of them."""
        folder = self.root / host
        found = {str(path) for path in folder.rglob("*") if path.is_file()}
        own = {path for path in [*self._lasting, *self._renamed] if self._is_of(path, host)}
        contents = {path: self._left_of(path) for path in found | own}
        shutil.rmtree(folder, ignore_errors=True)
        self._forget(host)
        for path, content in contents.items():
            if content is None:
                continue
            Path(path).parent.mkdir(parents=True, exist_ok=True)
            Path(path).write_bytes(content)
            self._synced[path] = self._lasting[path] = content

    def _left_of(self, path: str) -> bytes | None:
        lasting = self._lasting.get(path)
        if path in self._renamed:
            return self._random.choice([lasting, self._synced.get(path, b"")])
        current = Path(path).read_bytes() if Path(path).exists() else b""
        base = lasting or b""
        if lasting is None and self._random.random() < 0.5:
            return None
        if not current.startswith(base):
            return base
        return current[: self._random.randint(len(base), len(current))]

    def _is_of(self, path: str, host: str) -> bool:
        return path.startswith(str(self.root / host) + os.sep)

    def _forget(self, host: str) -> None:
        for kept in (self._synced, self._lasting):
            for path in [path for path in kept if self._is_of(path, host)]:
                del kept[path]
        self._renamed = {path for path in self._renamed if not self._is_of(path, host)}


__all__ = ["Disks"]
