"""Tests of the entry point of the program."""

from __future__ import annotations

import signal
import sys
import types

import pytest

from leadhollow.run import run


class TestPlatformCommand:
    def test_ignores_sighup_while_it_starts(self, monkeypatch):
        sighup_handlers = []
        adapter = types.ModuleType("leadhollow.platform.serve")
        adapter.serve = lambda: sighup_handlers.append(signal.getsignal(signal.SIGHUP)) or 0
        monkeypatch.setitem(sys.modules, "leadhollow.platform.serve", adapter)
        monkeypatch.setattr(sys, "argv", ["leadhollow", "platform"])
        before = signal.getsignal(signal.SIGHUP)
        try:
            with pytest.raises(SystemExit) as raised:
                run()
        finally:
            signal.signal(signal.SIGHUP, before)
        assert raised.value.code == 0
        assert sighup_handlers == [signal.SIG_IGN]
