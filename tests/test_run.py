"""Tests of how a process begins."""

from __future__ import annotations

import signal
import sys
import types

import pytest

from leadhollow.run import run


class TestPlatformCommand:
    def test_a_hang_up_while_it_starts_does_not_end_it(self, monkeypatch):
        found = []
        adapter = types.ModuleType("leadhollow.platform.serve")
        adapter.serve = lambda: found.append(signal.getsignal(signal.SIGHUP)) or 0
        monkeypatch.setitem(sys.modules, "leadhollow.platform.serve", adapter)
        monkeypatch.setattr(sys, "argv", ["leadhollow", "platform"])
        before = signal.getsignal(signal.SIGHUP)
        try:
            with pytest.raises(SystemExit) as ended:
                run()
        finally:
            signal.signal(signal.SIGHUP, before)
        assert ended.value.code == 0
        assert found == [signal.SIG_IGN]
