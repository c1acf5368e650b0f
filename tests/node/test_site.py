"""Tests of the site that whole processes are tested on."""

from __future__ import annotations

from tests import support
from tests.node.site import Site


class TestPorts:
    # Guards against: a process does not start, since two of its listeners have the same port.
    def test_are_distinct_whatever_is_drawn(self, tmp_path, monkeypatch):
        monkeypatch.setattr(support._ports, "randrange", lambda low, high: 21_500)
        site = Site(folder=tmp_path, servers=[])
        settings = site._entry_settings[0]
        ports = [
            *settings.ports,
            int(site.operators.rpartition(":")[2]),
            int(settings.callers.rpartition(":")[2]),
            int(settings.readiness.rpartition(":")[2]),
        ]
        assert len(set(ports)) == len(ports)
