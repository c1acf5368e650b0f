"""Tests that result codes are unique, grouped into classes and documented."""

from __future__ import annotations

from leadhollow.cli.status_commands import errors_page
from leadhollow.codes import Code, code_of
from leadhollow.failure import failure_from_number


class TestCodes:
    def test_numbers_are_unique(self):
        numbers = [int(code) for code in Code.__members__.values()]
        assert len(numbers) == len(set(numbers)) == len(Code.__members__)

    def test_exit_codes_are_the_classes_0_to_9(self):
        assert {code.exit_code for code in Code} == set(range(10))

    def test_documentation_page_matches_the_codes(self, project_root):
        assert (project_root / "docs" / "ERRORS.md").read_text() == errors_page()

    def test_unknown_number_of_a_newer_peer_is_kept_in_the_detail(self):
        assert code_of(12_345) is None
        failure = failure_from_number(12_345, "new trouble")
        assert failure.code is Code.INTERNAL
        assert "12345: new trouble" in failure.detail
