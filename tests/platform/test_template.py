"""Checks that the settings template and the deploy file fit the settings of each role.

The platform fills in the template when it places a process. A field that the settings do not accept
would keep the process from starting.
"""

from __future__ import annotations

import json
import re
import tomllib

import pytest

from leadhollow.settings.node import NodeRole, parse_node_settings

PLATFORM_FIELDS = {
    "nodeName": "front-a-1",
    "role": "entry",
    "machineClass": "front",
    "ip": "10.1.0.40",
    "zone": "a",
    "region": "r",
    "zones": {"a": "r"},
    "listen": {"front": "10.1.0.40:8005", "readinessAddress": "10.1.0.40:8002"},
    "internalPorts": [7700, 7715],
    "seeds": ["10.1.0.43:8000", "10.2.0.39:8000"],
    "bootstrap": True,
    "limits": {"linkMbps": 3.65, "memoryMb": 300, "maxFds": 4100},
    "dataDir": None,
    "heartbeatMs": 1200,
    "faultTolerance": {"machines": 1, "zones": 1, "regions": 0},
    "bounds": {
        "contactMs": 3000,
        "ackTimeoutMs": 4000,
        "configDeadlineMs": 2000,
        "drainTimeoutMs": 2000,
        "graceS": 8.5,
        "version_ms": 8000,
        "passMs": 120,
        "retryBudgetRatio": 0.2,
        "budgetSlack": 102.5,
        "budgetWindowS": 10,
        "reuseAfterS": 2,
    },
}


def look_up(fields, path: str):
    found = fields
    for name in path.split("."):
        if isinstance(found, list):
            found = found[int(name)]
        else:
            found = found.get(name) if isinstance(found, dict) else None
    return found


def fill_in(template: str, fields) -> str:
    """Replace the sections of present values, and the values, in a template."""

    def fill_in_section(match: re.Match[str]) -> str:
        value = look_up(fields, match["name"])
        if value is None:
            return ""
        return match["inside"].replace("{{.|json}}", json.dumps(value))

    text = re.sub(
        r"\{\{#(?P<name>[\w.]+)\}\}\n(?P<inside>.*?)\{\{/(?P=name)\}\}\n",
        fill_in_section,
        template,
        flags=re.DOTALL,
    )
    text = re.sub(
        r"\{\{([\w.]+)\|json\}\}", lambda match: json.dumps(look_up(fields, match[1])), text
    )
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: str(look_up(fields, match[1])), text)


@pytest.fixture
def template(project_root):
    return (project_root / "deploy" / "settings.json").read_text(encoding="utf-8")


class TestTemplate:
    def test_gives_settings_of_an_entry(self, template):
        settings = parse_node_settings(fill_in(template, PLATFORM_FIELDS).encode()).unwrap()
        assert settings.role is NodeRole.ENTRY
        assert settings.callers == "10.1.0.40:8005"
        assert settings.wire_address == "10.1.0.40:7700"
        assert settings.seed_wire_addresses == ("10.1.0.43:7700", "10.2.0.39:7700")
        assert settings.bounds.stop_grace_s == 8.5
        assert settings.bounds.retry_slack == 102.5
        assert (settings.bounds.cold_overshoot, settings.bounds.cold_slack) == (1.5, 5.0)

    def test_gives_the_bounds_of_cold_servers_where_they_are_named(self, template):
        bounds = {**PLATFORM_FIELDS["bounds"], "coldOvershoot": 2, "coldSlack": 7.5}
        settings = parse_node_settings(
            fill_in(template, {**PLATFORM_FIELDS, "bounds": bounds}).encode()
        ).unwrap()
        assert (settings.bounds.cold_overshoot, settings.bounds.cold_slack) == (2.0, 7.5)

    def test_gives_settings_of_a_control_replica(self, template):
        fields = {
            **PLATFORM_FIELDS,
            "role": "control",
            "listen": {"control": "10.1.0.43:8000"},
            "dataDir": "/data/control",
            "bootstrap": False,
        }
        settings = parse_node_settings(fill_in(template, fields).encode()).unwrap()
        assert settings.role is NodeRole.CONTROL
        assert (settings.operators, settings.data_folder) == ("10.1.0.43:8000", "/data/control")
        assert not settings.first_start

    def test_gives_settings_of_a_stager(self, template):
        fields = {
            **PLATFORM_FIELDS,
            "role": "stager",
            "listen": {},
            "app": "10.1.0.44:8001",
            "service": "engines",
        }
        settings = parse_node_settings(fill_in(template, fields).encode()).unwrap()
        assert settings.role is NodeRole.STAGER
        assert settings.engine.address == "10.1.0.44:8001"
        assert settings.link_mbit_per_s == 3.65
        assert (settings.memory_mb, settings.max_descriptors) == (300, 4100)


class TestDeployFile:
    def test_has_each_role_with_its_template_and_command(self, project_root):
        deploy = tomllib.loads((project_root / "deploy" / "system.toml").read_text("utf-8"))
        assert set(deploy["roles"]) == {role.value for role in NodeRole}
        for role in deploy["roles"].values():
            assert (project_root / role["template"]).is_file()
            assert role["run"] == "python3 -S -m leadhollow platform"

    def test_required_libraries_are_pinned(self, project_root):
        requirements = (project_root / "requirements" / "deploy.txt").read_text("utf-8").split()
        names = [word for word in requirements if re.fullmatch(r"[a-z0-9-]+", word)]
        pins = (project_root / "requirements" / "constraints.txt").read_text("utf-8").lower()
        for name in {"absl-py", "httptools", "msgspec", "result", "thrift", "uvloop"}:
            assert name in names
            assert f"{name}==" in pins
