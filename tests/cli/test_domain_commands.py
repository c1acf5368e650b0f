"""Tests of the domain commands, run as a user runs them against a control replica."""

from __future__ import annotations

import asyncio
import json

import msgspec

from leadhollow.node.entry_role import EntryDispatcher
from tests.cli.test_application import run
from tests.node.load import with_site
from tests.node.self_reporting import SelfReportingServer
from tests.node.site import Site
from tests.support import eventually


async def ask(verb: str, *arguments: str):
    return await asyncio.to_thread(run, "domain", verb, *arguments)


class TestDomainCommands:
    def test_evacuate_list_and_restore(self, tmp_path):
        servers = [SelfReportingServer(number=0, service="service")]

        async def work(site: Site, _: object) -> None:
            replica = site._control_settings.wire_address
            domains = site.entry.kernel.get("dispatching", EntryDispatcher).domains
            (listed,) = json.loads((await ask("list", replica, "--json")).stdout)
            assert (listed["failure_domain"], listed["evacuated"]) == ("d", False)
            assert listed["since_s"] is None
            assert "evacuated" in (await ask("evacuate", replica, "d")).stdout
            await eventually(lambda: domains.evacuated == {"d"}, "the evacuation at the entry")
            (listed,) = json.loads((await ask("list", replica, "--json")).stdout)
            assert (listed["evacuated"], listed["entries"]) == (True, 1)
            assert listed["since_s"] >= 0
            assert "evacuated" in (await ask("list", replica)).stdout
            assert "in use" in (await ask("restore", replica, "d")).stdout
            await eventually(lambda: not domains.evacuated, "the restoration at the entry")

        with_site(tmp_path, kind="plain", servers=servers, entries=1, work=work)

    def test_unknown_domain_is_refused_with_the_known_ones(self, tmp_path, monkeypatch):
        """Guards against: a misspelt name is acknowledged and nothing is evacuated."""
        original = Site.__init__

        def with_regions(self, **arguments):
            original(self, **arguments)
            regions = {"d": "r", "e": "r"}
            self._control_settings = msgspec.structs.replace(
                self._control_settings, regions=regions
            )

        monkeypatch.setattr(Site, "__init__", with_regions)
        servers = [SelfReportingServer(number=0, service="service")]

        async def work(site: Site, _: object) -> None:
            replica = site._control_settings.wire_address
            refused = await ask("evacuate", replica, "f")
            assert refused.returncode == 3
            assert "[323] failure domain: 'f' is none of d, e" in refused.stderr
            assert await site.order("POST", "f") == 404
            assert await site.order("DELETE", "f") == 404
            assert await site.order("POST", "e") == 200

        with_site(tmp_path, kind="plain", servers=servers, entries=1, work=work)

    def test_unreachable_replica_exits_with_7(self):
        assert run("domain", "list", "127.0.0.1:1").returncode == 7
