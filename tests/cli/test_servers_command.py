"""The command on backend servers, as a user runs it against a control replica."""

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


class TestServers:
    def test_that_leave_or_rest_are_listed_with_who_told(self, tmp_path):
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
            leaving, resting = json.loads((await ask(replica, "--json")).stdout)
            assert (leaving["server"], leaving["state"]) == ("i-0.1", "draining")
            assert leaving["leaving_told_by"] == "entry-0"
            assert 0 <= leaving["leaving_since_s"] < 30
            assert (resting["server"], resting["state"]) == ("i-1.1", "ready")
            assert (resting["rest_told_by"], resting["leaving_told_by"]) == ("entry-0", None)
            assert 20 < resting["rest_left_s"] <= 60
            shown = (await ask(replica)).stdout
            assert "draining" in shown
            assert "rests" in shown

        with_site(tmp_path, kind="plain", servers=servers, entries=1, work=work)

    def test_of_a_replica_that_is_not_there(self):
        ended = run("servers", "127.0.0.1:1")
        assert ended.returncode == 7
        assert "[705]" in ended.stderr
