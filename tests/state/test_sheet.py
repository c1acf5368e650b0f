"""Export and import of the table as CSV."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from leadhollow.state.records import Limits, ModelChoice, Policy, Row, ServiceRule
from leadhollow.state.sheet import COLUMNS, read_sheet, write_sheet

NAMES = st.from_regex(r"[a-z0-9][a-z0-9._-]{0,9}", fullmatch=True)
ROWS = st.builds(
    Row,
    group=NAMES,
    weight=st.floats(0.001, 1000),
    limits=st.builds(
        Limits,
        concurrency=st.integers(1, 99),
        tokens_per_s=st.integers(1, 10**9),
        queue=st.integers(1, 99),
    ),
    models=st.dictionaries(
        NAMES,
        st.builds(
            ModelChoice,
            version=NAMES,
            minimum_replicas=st.integers(0, 9),
            policy=st.sampled_from(Policy),
        ),
        max_size=3,
    ),
    services=st.dictionaries(NAMES, st.builds(ServiceRule, repeatable=st.booleans()), max_size=3),
)


class TestSheet:
    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(rows=st.lists(ROWS, max_size=5, unique_by=lambda row: row.group))
    def test_export_and_import_round_trip(self, rows):
        assert read_sheet(write_sheet(rows)).unwrap() == rows

    @settings(max_examples=100, deadline=None, derandomize=True)
    @given(text=st.text())
    def test_any_text_is_parsed_or_refused(self, text):
        read_sheet(text)

    @pytest.mark.parametrize(
        ("line", "expected"),
        [
            ("a,1,64,100,10,,,,", "expected 8 cells"),
            ("a,heavy,64,100,10,,,", "line 2, weight"),
            ("a,1,many,100,10,,,", "line 2, concurrency"),
            ("a,1,64,100,10,dispatch,,", "line 2, models"),
            ("a,1,64,100,10,dispatch=v1:1:cheap,,", "line 2, models"),
            ("a,1,64,100,10,,depot=often,", "line 2, services"),
            ("a,-1,64,100,10,,,", "line 2, a.weight"),
            ("a,1,64,100,10,,,\na,1,64,100,10,,,", "a stands twice"),
        ],
    )
    def test_invalid_line_is_named(self, line, expected):
        failures = read_sheet(",".join(COLUMNS) + "\n" + line + "\n").unwrap_err()
        assert expected in "\n".join(map(str, failures))

    def test_every_invalid_line_is_reported(self):
        text = ",".join(COLUMNS) + "\na,x,1,1,1,,,\nb,y,1,1,1,,,\n"
        assert len(read_sheet(text).unwrap_err()) == 2
