"""Tests of the fingerprints of requests and of prompt parts."""

from __future__ import annotations

from leadhollow.decide.fingerprint_kind import (
    FINGERPRINT_BYTES,
    MAX_PARTS,
    FingerprintKind,
    kind_of,
)
from leadhollow.forward.fingerprint import part_fingerprints


class TestPartFingerprints:
    def test_leave_out_the_last_part(self):
        shared = part_fingerprints(["5c", "91"], model="m")
        assert part_fingerprints(["5c", "91", "e4"], model="m")[:1] == shared
        assert len(shared) == 1
        assert part_fingerprints(["5c"], model="m") == ()
        assert part_fingerprints([], model="m") == ()

    def test_take_a_repeated_part_once(self):
        assert len(part_fingerprints(["5c", "5c", "91", "5c"], model="m")) == 2

    def test_differ_by_model_only_beside_the_part(self):
        assert part_fingerprints(["5c", "91"], model="m") != part_fingerprints(
            ["5c", "91"], model="n"
        )
        assert part_fingerprints(["1a", "0"], model="m") != part_fingerprints(
            ["a", "0"], model="m1"
        )

    def test_are_bounded_whatever_is_sent(self):
        found = part_fingerprints([f"{number:x}" for number in range(5_000)], model="m")
        assert len(found) == MAX_PARTS
        assert {len(part) for part in found} == {FINGERPRINT_BYTES}

    def test_say_what_they_are_of(self):
        (part,) = part_fingerprints(["5c", "91"], model="m")
        assert kind_of(part) is FingerprintKind.PART
        assert kind_of(bytes(FINGERPRINT_BYTES)) is FingerprintKind.REQUEST
