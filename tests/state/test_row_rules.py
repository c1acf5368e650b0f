"""Invalid rows are refused with the name of the field."""

from __future__ import annotations

import msgspec
import pytest

from leadhollow.codes import Code
from leadhollow.state.records import Limits, ModelChoice, ServiceRule
from leadhollow.state.row_rules import check_row
from tests.support import row


class TestCheckRow:
    def test_valid_row_passes(self):
        assert check_row(row("a", models={"m": ModelChoice(version="v1")})) is None

    @pytest.mark.parametrize(
        ("changed", "field"),
        [
            ({"group": "Not A Name"}, "group"),
            ({"group": "../up"}, "group"),
            ({"weight": 0.0}, "weight"),
            ({"weight": -1.0}, "weight"),
            ({"weight": float("nan")}, "weight"),
            ({"weight": float("inf")}, "weight"),
            ({"limits": Limits(concurrency=0)}, "limits.concurrency"),
            ({"limits": Limits(tokens_per_s=-5)}, "limits.tokens_per_s"),
            ({"limits": Limits(queue=0)}, "limits.queue"),
            ({"models": {"BAD": ModelChoice(version="v")}}, "models.BAD"),
            ({"models": {"m": ModelChoice(version="")}}, "models.m.version"),
            (
                {"models": {"m": ModelChoice(version="v", minimum_replicas=-1)}},
                "models.m.minimum_replicas",
            ),
            ({"services": {"a/b": ServiceRule()}}, "services.a/b"),
            ({"key_sha256s": ("short",)}, "key_sha256s[0]"),
            ({"key_sha256s": ("0" * 64, "1" * 64, "2" * 64)}, "key_sha256s"),
        ],
    )
    def test_invalid_field_is_named(self, changed, field):
        failure = check_row(msgspec.structs.replace(row("a"), **changed))
        assert failure.code is Code.ROW_INVALID
        assert failure.field.endswith(field)
