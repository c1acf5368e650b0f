"""Commands of the replicated log applied to the state machine."""

from __future__ import annotations

from leadhollow.codes import Code, Outcome
from leadhollow.state.commands import (
    Claim,
    EditRows,
    ExpireClaims,
    FinishClaim,
    PublishVersion,
    RowEdit,
    SetDrain,
    TakeLease,
)
from leadhollow.state.machine import StateMachine
from leadhollow.state.records import ModelChoice
from tests.support import edit, row


def publish(version: str, root: str = "r1") -> PublishVersion:
    return PublishVersion(
        operation_id=f"publish-{version}-{root}",
        model="dispatch",
        version=version,
        root=root,
        size_bytes=1,
        origin_url="http://origin/",
    )


def claim(key: str = "k", digest: str = "d", request_id: str = "r") -> Claim:
    return Claim(group="g", key=key, digest=digest, request_id=request_id, entry="e")


def finish(outcome: str, request_id: str = "r") -> FinishClaim:
    return FinishClaim(
        group="g",
        key="k",
        request_id=request_id,
        outcome=outcome,
        code=0,
        status=200,
        content_type="text/plain",
        body=b"first answer",
    )


class TestEdits:
    def test_first_of_two_edits_at_the_same_revision_wins(self):
        machine = StateMachine()
        machine.apply(1, edit("a", weight=1.0, expected=0, operation_id="x"))
        first = machine.apply(2, edit("a", weight=2.0, expected=1, operation_id="y"))
        second = machine.apply(3, edit("a", weight=3.0, expected=1, operation_id="z"))
        assert (first.code, first.revision) == (0, 2)
        assert second.code == Code.REVISION_CONFLICT
        assert second.current[0].revision == 2
        assert second.current[0].value.row.weight == 2.0

    def test_resent_operation_gets_the_first_answer(self):
        machine = StateMachine()
        command = edit("a", weight=1.0, expected=0, operation_id="x")
        first = machine.apply(1, command)
        assert machine.apply(2, command) == first
        assert machine.catalog.item("row/a").revision == 1

    def test_resent_operation_gets_the_first_answer_after_a_snapshot(self):
        machine = StateMachine()
        command = edit("a", weight=1.0, expected=0, operation_id="x")
        first = machine.apply(1, command)
        restored = StateMachine()
        restored.restore(machine.snapshot())
        assert restored.apply(2, command) == first

    def test_different_edit_with_a_used_operation_id_is_refused(self):
        machine = StateMachine()
        machine.apply(1, edit("a", weight=1.0, expected=0, operation_id="x"))
        other = machine.apply(2, edit("a", weight=2.0, expected=1, operation_id="x"))
        assert other.code == Code.OPERATION_REUSED

    def test_edit_with_one_conflict_changes_nothing(self):
        machine = StateMachine()
        machine.apply(1, edit("a", weight=1.0, expected=0, operation_id="x"))
        edits = (
            RowEdit(group="b", expected_revision=0, row=row("b")),
            RowEdit(group="a", expected_revision=0, row=row("a", weight=5.0)),
        )
        answer = machine.apply(2, EditRows(operation_id="y", operator="o", edits=edits))
        assert answer.code == Code.REVISION_CONFLICT
        assert machine.catalog.row("b") is None

    def test_unpublished_version_is_refused(self):
        machine = StateMachine()
        models = {"dispatch": ModelChoice(version="v1")}
        bad = RowEdit(group="a", expected_revision=0, row=row("a", models=models))
        answer = machine.apply(1, EditRows(operation_id="x", operator="o", edits=(bad,)))
        assert answer.code == Code.VERSION_UNKNOWN
        assert "a.models.dispatch.version" in answer.detail

    def test_key_of_another_group_is_refused(self):
        machine = StateMachine()
        machine.apply(1, edit("a", weight=1.0, expected=0, operation_id="x"))
        other_row = row("a")
        conflicting = RowEdit(
            group="b",
            expected_revision=0,
            row=row("b").__class__(group="b", weight=1.0, key_sha256s=other_row.key_sha256s),
        )
        answer = machine.apply(2, EditRows(operation_id="y", operator="o", edits=(conflicting,)))
        assert answer.code == Code.ROW_INVALID

    def test_removed_row_can_be_created_again(self):
        machine = StateMachine()
        machine.apply(1, edit("a", weight=1.0, expected=0, operation_id="x"))
        removal = RowEdit(group="a", expected_revision=1, row=None)
        assert (
            machine.apply(2, EditRows(operation_id="y", operator="o", edits=(removal,))).code == 0
        )
        assert machine.apply(3, edit("a", weight=2.0, expected=0, operation_id="z")).code == 0
        assert [entry.revision for entry in machine.history("a")] == [1, 2, 3]

    def test_previous_version_is_kept_for_the_rollout(self):
        machine = StateMachine()
        machine.apply(1, publish("v1", "r1"))
        machine.apply(2, publish("v2", "r2"))
        for index, version in enumerate(("v1", "v2"), start=3):
            models = {"dispatch": ModelChoice(version=version)}
            change = RowEdit(
                group="a",
                expected_revision=0 if index == 3 else 3,
                row=row("a", models=models),
            )
            command = EditRows(operation_id=version, operator="o", edits=(change,))
            assert machine.apply(index, command).code == 0
        assert machine.catalog.row("a").previous_versions == {"dispatch": "v1"}


class TestVersions:
    def test_published_version_cannot_change_its_root(self):
        machine = StateMachine()
        assert machine.apply(1, publish("v1", "r1")).code == 0
        assert machine.apply(2, publish("v1", "r2")).code == Code.VERSION_IMMUTABLE
        assert machine.catalog.version("dispatch", "v1").root == "r1"


class TestLeases:
    def test_each_new_holder_gets_a_higher_fence(self):
        machine = StateMachine()
        take = TakeLease(name="domain/d", holder="a", ttl_ms=1000, replaced_fence=0)
        machine.apply(5, take)
        late = TakeLease(name="domain/d", holder="c", ttl_ms=1000, replaced_fence=0)
        assert machine.apply(6, late).code == Code.LEASE_HELD
        machine.apply(7, TakeLease(name="domain/d", holder="b", ttl_ms=1000, replaced_fence=5))
        assert machine.catalog.lease("domain/d").fence == 7


class TestClaims:
    def test_second_claim_finds_the_first_running(self):
        machine = StateMachine()
        assert machine.apply(1, claim()).fresh
        again = machine.apply(2, claim(request_id="other"))
        assert (again.fresh, again.code) == (False, Code.IDEMPOTENCY_RUNNING)

    def test_claim_of_a_finished_request_returns_its_result(self):
        machine = StateMachine()
        machine.apply(1, claim())
        machine.apply(2, finish(Outcome.EXECUTED))
        assert machine.apply(3, claim(request_id="o")).finished.body == b"first answer"

    def test_used_key_with_another_digest_is_refused(self):
        machine = StateMachine()
        machine.apply(1, claim())
        other = machine.apply(2, claim(digest="other", request_id="o"))
        assert other.code == Code.IDEMPOTENCY_KEY_REUSED

    def test_request_that_was_not_executed_frees_its_key(self):
        machine = StateMachine()
        machine.apply(1, claim())
        machine.apply(2, finish(Outcome.NOT_EXECUTED))
        assert machine.apply(3, claim(request_id="o")).fresh

    def test_another_request_cannot_finish_the_claim(self):
        machine = StateMachine()
        machine.apply(1, claim())
        machine.apply(2, finish(Outcome.NOT_EXECUTED, request_id="other"))
        assert not machine.apply(3, claim(request_id="o")).fresh

    def test_expiry_removes_only_old_claims(self):
        machine = StateMachine()
        machine.apply(1, claim(key="old"))
        machine.apply(2, claim(key="new"))
        machine.apply(3, ExpireClaims(through_index=1))
        assert machine.claim_count() == 1


class TestDrains:
    def test_drain_is_started_and_ended(self):
        machine = StateMachine()
        for index, draining in enumerate((True, False), start=1):
            command = SetDrain(operation_id=str(index), operator="o", server="s", draining=draining)
            machine.apply(index, command)
            assert machine.catalog.draining("s") is draining
