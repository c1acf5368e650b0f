"""Starts a small site for each feature: one failure domain, real processes' services."""

from __future__ import annotations

import asyncio
import tempfile
from pathlib import Path

import aiohttp
import uvloop

from leadhollow.observe.logs import LogFormat, configure_command_logs
from leadhollow.standin.site import Site, SitePlan
from tests.contract.steps.world import World


def before_all(context):
    configure_command_logs(log_format=LogFormat.TEXT, level="fatal")
    context.loop = uvloop.new_event_loop()
    asyncio.set_event_loop(context.loop)


def before_feature(context, feature):
    context.folder = tempfile.TemporaryDirectory()
    plan = SitePlan(
        entries={"south": 2},
        engines={"south": 2},
        service=("depot", "south"),
        link_bytes_per_s=64 * 1024 * 1024,
        step_ms=2.0,
    )
    site = Site(plan=plan, folder=Path(context.folder.name))

    async def start():
        started = await site.start()
        assert started.is_ok(), started
        return World(site=site, session=aiohttp.ClientSession())

    context.world = context.loop.run_until_complete(start())


def after_feature(context, feature):
    context.loop.run_until_complete(context.world.close())
    context.folder.cleanup()


def after_all(context):
    context.loop.close()
