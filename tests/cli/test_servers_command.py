"""Tests of the servers command, run as a user runs it against a control replica."""

from __future__ import annotations

import asyncio
import json

from tests.cli.test_application import run
from tests.node.load import Load, with_site
from tests.node.self_reporting import SelfReportingServer
from tests.node.site import Site
from tests.support import eventually


async def ask(*arguments: str):
    return await asyncio.to_thread(run, "servers", *arguments)


class TestServersCommand:
    def test_draining_servers_and_back_offs_are_listed_with_their_reporter(self, tmp_path):
        servers = [SelfReportingServer(number=number, service="service") for number in range(3)]

        async def work(site: Site, _: object) -> None:
            replica = site._control_settings.wire_address
            assert json.loads((await ask(replica, "--json")).stdout) == []
            assert (await ask(replica, "--all")).stdout.count("ready") == 3
            servers[0].leaving = True
            servers[1].retry_after = "60"
            async with Load(site=site, entries=[0]):
                await eventually(
                    lambda: servers[0].first_report_s and servers[1].first_report_s, "both words"
                )
            await site.pause()
            leaving, backing_off = json.loads((await ask(replica, "--json")).stdout)
            assert (leaving["server"], leaving["state"]) == ("i-0.1", "draining")
            assert leaving["leaving_told_by"] == "entry-0"
            assert 0 <= leaving["leaving_since_s"] < 30
            assert (backing_off["server"], backing_off["state"]) == ("i-1.1", "ready")
            assert (backing_off["rest_told_by"], backing_off["leaving_told_by"]) == (
                "entry-0",
                None,
            )
            assert 20 < backing_off["rest_left_s"] <= 60
            shown = (await ask(replica)).stdout
            assert "draining" in shown
            assert "rests" in shown

        with_site(tmp_path, kind="plain", servers=servers, entries=1, work=work)

    def test_unreachable_replica_exits_with_7(self):
        completed = run("servers", "127.0.0.1:1")
        assert completed.returncode == 7
        assert "[705]" in completed.stderr
