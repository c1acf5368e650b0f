"""Ages of named versions when control replicas restart."""

from __future__ import annotations

import asyncio

from leadhollow.control.version_ages import VersionAgeTracker
from tests.node.early_answers import EarlyServer
from tests.node.site import Site, route
from tests.support import eventually

MODEL = "m"
AGE_S = 1.0


class TestRestartOfAllReplicas:
    # Guards against an entry that takes an old version for new after all replicas were killed.
    def test_keeps_the_ages_of_versions(self, tmp_path):
        server = EarlyServer(instance="s-0", service="service")

        async def named(site: Site) -> bool:
            url = f"http://{site.operators}/-/version-put"
            async with site.http.post(url, json={"model": MODEL, "version": 2}) as answer:
                return answer.status == 200

        async def run() -> None:
            async with Site(folder=tmp_path, servers=[server]) as site:
                await site.put_routes(route("/ask/", "service"))
                await eventually(lambda: named(site), "an acknowledged version")
                await asyncio.sleep(AGE_S)
                await site.restart_control()

                def age_s() -> float:
                    times = site.control.kernel.get("version-ages", VersionAgeTracker).times
                    named_s = times.named_s(MODEL, 2)
                    return 0.0 if named_s is None else asyncio.get_running_loop().time() - named_s

                await eventually(lambda: age_s() > 0, "an age at the new replica")
                assert age_s() >= AGE_S

        asyncio.run(asyncio.wait_for(run(), 60))
