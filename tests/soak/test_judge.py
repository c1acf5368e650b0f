"""Tests of the judge: each promise is planted broken once, and kept once."""

from __future__ import annotations

import pytest

from tests.soak.cold import Cold
from tests.soak.evacuations import Evacuation
from tests.soak.ledger import (
    CONTACT_S,
    IN_FORCE_S,
    LIMIT_TOLD_S,
    VERSION_S,
    WITHDRAWN_S,
    Kind,
    Ledger,
    Limit,
    Run,
    Table,
    Told,
)
from tests.soak.self_reports import SelfReport, Sender

START_S = 100.0


def ran(ledger: Ledger, request: str, **changes: object) -> Run:
    values = {"instance": "i-1", "service": "left", "version": 0, "began_s": START_S} | changes
    run = Run(request=request, **values)
    ledger.runs[request].append(run)
    return run


def told(ledger: Ledger, request: str, kind: Kind, status: int, **changes: object) -> Told:
    answer = Told(request=request, kind=kind, entry="e", sent_s=START_S)
    answer.status = status
    answer.signature = f"{request}/i-1" if status == 200 else ""
    answer.body = answer.signature.encode()
    for name, value in changes.items():
        setattr(answer, name, value)
    ledger.told.append(answer)
    return answer


def rules(ledger: Ledger) -> list[str]:
    return [violation.partition(" ")[0] for violation in ledger.judge()]


class TestAnswers:
    def test_a_whole_own_answer_is_well(self):
        ledger = Ledger()
        ran(ledger, "r")
        told(ledger, "r", Kind.ORDER, 200)
        assert rules(ledger) == []

    def test_an_order_that_ran_twice(self):
        ledger = Ledger()
        ran(ledger, "r")
        ran(ledger, "r", instance="i-2")
        told(ledger, "r", Kind.ORDER, 0)
        assert rules(ledger) == ["TWICE"]

    def test_a_lookup_may_run_twice(self):
        ledger = Ledger()
        ran(ledger, "r")
        ran(ledger, "r", instance="i-2")
        told(ledger, "r", Kind.STREAM, 200)
        assert rules(ledger) == []

    @pytest.mark.parametrize("status", [408, 421, 429, 503])
    def test_not_run_although_it_was(self, status):
        ledger = Ledger()
        ran(ledger, "r")
        told(ledger, "r", Kind.STREAM, status)
        assert rules(ledger) == ["REFUSED"]

    @pytest.mark.parametrize("status", [0, 502, 504])
    def test_what_promises_nothing_may_have_run(self, status):
        ledger = Ledger()
        ran(ledger, "r")
        told(ledger, "r", Kind.ORDER, status)
        assert rules(ledger) == []

    @pytest.mark.parametrize(
        "changes",
        [{"body": b""}, {"body": b"half"}, {"signature": "other/i-1"}, {"signature": "r/i-9"}],
    )
    def test_an_answer_that_is_not_its_own(self, changes):
        ledger = Ledger()
        ran(ledger, "r")
        told(ledger, "r", Kind.ORDER, 200, **changes)
        assert rules(ledger) == ["FOREIGN"]

    def test_a_stream_that_lacks_its_end(self):
        ledger = Ledger()
        ran(ledger, "r")
        told(ledger, "r", Kind.STREAM, 200, wanted=b"id: 1\n\nid: 2\n\n", body=b"id: 1\n\n")
        assert rules(ledger) == ["FOREIGN"]


class TestWorkInVain:
    """Answers that were there, and sends that gave nobody a chance, behind a failure."""

    def failed(self, *, told_s: float = START_S + 3.0, status: int = 504) -> tuple[Ledger, Run]:
        ledger = Ledger()
        run = ran(ledger, "r")
        told(ledger, "r", Kind.STREAM, status, told_s=told_s)
        return ledger, run

    @pytest.mark.parametrize("status", [500, 502, 504])
    def test_an_answer_that_was_ready_and_not_delivered(self, status):
        ledger, run = self.failed(status=status)
        run.ended_s = START_S + 2.0
        assert rules(ledger) == ["READY"]
        assert ledger.columns()["ready and not delivered"] == 1

    def test_an_answer_that_came_as_the_time_was_over_is_well(self):
        ledger, run = self.failed()
        run.ended_s = START_S + 2.9
        assert rules(ledger) == []

    def test_a_send_that_was_withdrawn_at_once(self):
        ledger, run = self.failed()
        run.cut_s = START_S + WITHDRAWN_S / 2
        assert rules(ledger) == ["WITHDRAWN"]
        assert ledger.columns()["withdrawn before it could run"] == 1

    def test_a_send_that_was_given_up_later_is_well(self):
        ledger, run = self.failed()
        run.cut_s = START_S + 1.0
        assert rules(ledger) == []

    def test_a_withdrawn_send_beside_a_success_is_well(self):
        ledger = Ledger()
        ran(ledger, "r", instance="i-2").cut_s = START_S + WITHDRAWN_S / 2
        ran(ledger, "r").ended_s = START_S + 0.2
        told(ledger, "r", Kind.STREAM, 200, told_s=START_S + 0.3)
        assert rules(ledger) == []

    def test_nothing_is_counted_around_a_fault(self):
        ledger, run = self.failed()
        run.ended_s = START_S + 2.0
        ledger.disturbances.append(START_S + 1.0)
        assert rules(ledger) == []

    def test_a_false_refusal_is_counted(self):
        ledger, _ = self.failed(status=503)
        assert ledger.columns()["falsely said not to have run"] == 1


class TestBounds:
    def lookup(self, ledger: Ledger, *, sent_s: float) -> None:
        for number, service in ((1, "left"), (2, "right")):
            table = Table(number=number, body=b"", lookup_service=service, regions=frozenset())
            table.acknowledged_s = START_S
            ledger.tables.append(table)
        ran(ledger, "r", service="left", began_s=sent_s)
        told(ledger, "r", Kind.LOOKUP, 0, sent_s=sent_s)

    def test_an_old_route_after_the_bound(self):
        ledger = Ledger()
        self.lookup(ledger, sent_s=START_S + IN_FORCE_S + 0.1)
        assert rules(ledger) == ["CONFIG"]

    def test_an_old_route_before_the_bound_is_well(self):
        ledger = Ledger()
        self.lookup(ledger, sent_s=START_S + IN_FORCE_S - 0.1)
        assert rules(ledger) == []

    def test_nothing_is_held_to_a_bound_shortly_after_a_fault(self):
        ledger = Ledger()
        sent_s = START_S + 60.0
        ledger.disturbances.append(sent_s - CONTACT_S / 2)
        self.lookup(ledger, sent_s=sent_s)
        assert rules(ledger) == []

    @pytest.mark.parametrize(("region", "broken"), [("b", []), ("c", ["REGION"])])
    def test_a_request_of_a_bound_group_outside_its_regions(self, region, broken):
        ledger = Ledger()
        ran(ledger, "r", instance=f"i-models-{region}-1")
        told(ledger, "r", Kind.GROUP, 0)
        ledger.disturbances.append(START_S)  # no fault excuses it
        assert rules(ledger) == broken

    @pytest.mark.parametrize(
        ("after_s", "broken"), [(IN_FORCE_S - 0.1, []), (IN_FORCE_S + 0.1, ["REGION"])]
    )
    def test_a_request_of_a_bound_route_in_a_former_region(self, after_s, broken):
        ledger = Ledger()
        for number, regions in ((1, {"a", "b"}), (2, {"b"})):
            table = Table(
                number=number, body=b"", lookup_service="left", regions=frozenset(regions)
            )
            table.acknowledged_s = START_S
            ledger.tables.append(table)
        ran(ledger, "r", instance="i-models-a-1", began_s=START_S + after_s)
        told(ledger, "r", Kind.BOUND, 0)
        assert rules(ledger) == broken

    @pytest.mark.parametrize(("late_s", "broken"), [(-0.1, []), (0.1, ["VERSION"])])
    def test_weights_that_are_too_old(self, late_s, broken):
        ledger = Ledger()
        ledger.named[2] = START_S
        ran(ledger, "r", version=1, began_s=START_S + VERSION_S + late_s)
        assert rules(ledger) == broken


class TestLimits:
    def judged(self, arrivals: int, *, after_s: float = LIMIT_TOLD_S) -> list[str]:
        ledger = Ledger()
        limit = Limit(instance="i-1", per_s=1.0)
        limit.named_s = START_S
        limit.arrivals_s = [START_S + after_s + 0.2 * number for number in range(arrivals)]
        ledger.limits.append(limit)
        return rules(ledger)

    @pytest.mark.parametrize(("arrivals", "broken"), [(11, []), (12, ["LIMIT"])])
    def test_hold_for_all_requests_of_some_seconds(self, arrivals, broken):
        assert self.judged(arrivals) == broken

    def test_do_not_hold_before_entries_could_know(self):
        assert self.judged(5, after_s=-1.0) == []


class TestCold:
    def judged(self, arrivals: int, *, until_s: float = START_S + 9.0) -> list[str]:
        ledger = Ledger()
        cold = Cold(instance="i-1", until_s=until_s)
        for number in range(arrivals):
            cold.note_arrival(START_S + 0.05 * number)
        ledger.colds.append(cold)
        return rules(ledger)

    @pytest.mark.parametrize(("arrivals", "broken"), [(8, []), (9, ["COLD"])])
    def test_holds_for_all_requests_of_a_second(self, arrivals, broken):
        assert self.judged(arrivals) == broken

    def test_does_not_hold_once_it_is_over(self):
        assert self.judged(19, until_s=START_S + 0.3) == []


class TestSelfReports:
    ENTRY = Sender(entry="e", span=1)

    def judged(
        self, *, said: str, arrived_after_s: float, sender: Sender = ENTRY, disturbed: bool = False
    ) -> list[str]:
        ledger = Ledger()
        report = SelfReport(instance="i-1")
        ledger.self_reports.append(report)
        report.note_arrival("a", self.ENTRY, START_S)
        if said == "leaving":
            report.leaving_signatures.add("a/i-1")
            told(ledger, "a", Kind.ORDER, 200)
            ran(ledger, "a")
        else:
            report.note_rest(self.ENTRY, 3.0, START_S)
        if disturbed:
            ledger.disturbances.append(START_S)
        report.note_arrival("b", sender, START_S + arrived_after_s)
        return rules(ledger)

    @pytest.mark.parametrize(("after_s", "broken"), [(0.05, []), (0.2, ["LEAVING"])])
    def test_that_say_a_server_leaves_bind_the_entry_that_passed_them_on(self, after_s, broken):
        assert self.judged(said="leaving", arrived_after_s=after_s) == broken
        assert self.judged(said="leaving", arrived_after_s=after_s, disturbed=True) == broken

    @pytest.mark.parametrize(
        ("after_s", "broken"), [(0.4, []), (0.6, ["REST"]), (2.9, ["REST"]), (3.1, [])]
    )
    def test_that_ask_for_rest_bind_the_entry_until_its_end(self, after_s, broken):
        assert self.judged(said="rest", arrived_after_s=after_s) == broken
        assert self.judged(said="rest", arrived_after_s=after_s, disturbed=True) == []

    @pytest.mark.parametrize("said", ["leaving", "rest"])
    @pytest.mark.parametrize("sender", [Sender(entry="e", span=2), Sender(entry="f", span=1)])
    def test_bind_no_other_entry_and_none_that_started_again(self, said, sender):
        assert self.judged(said=said, arrived_after_s=1.0, sender=sender) == []


class TestEvacuations:
    @pytest.mark.parametrize(
        ("instance", "after_s", "broken"),
        [
            ("i-models-b-2", IN_FORCE_S + 0.1, 1),
            ("i-models-b-2", IN_FORCE_S - 0.1, 0),
            ("i-models-b-2", 6.1, 0),
            ("i-models-c-1", IN_FORCE_S + 0.1, 0),
        ],
    )
    def test_finds_requests_in_an_evacuated_domain(self, instance, after_s, broken):
        ledger = Ledger()
        evacuation = Evacuation(domain="b", backends=["models-b"], acknowledged_s=START_S)
        evacuation.restored_s = START_S + 6.0
        run = ran(ledger, "q", instance=instance, began_s=START_S + after_s)
        assert len(evacuation.judge([run], ledger)) == broken

    def test_does_not_judge_entries_that_are_not_in_touch(self):
        ledger = Ledger()
        evacuation = Evacuation(domain="b", backends=["models-b"], acknowledged_s=START_S)
        run = ran(ledger, "q", instance="i-models-b-1", began_s=START_S + IN_FORCE_S + 0.1)
        ledger.disturbances.append(run.began_s - CONTACT_S / 2)
        assert evacuation.judge([run], ledger) == []
