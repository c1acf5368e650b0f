"""Tests of the fingerprints of requests and of prompt parts."""

from __future__ import annotations

from leadhollow.decide.fingerprints import (
    FINGERPRINT_BYTES,
    MAX_PARTS,
    FingerprintKind,
    kind_of,
)
from leadhollow.forward.body_retention import BodyRetention
from leadhollow.forward.fingerprint import fingerprint_of, part_fingerprints
from leadhollow.forward.request_body import RequestBody
from leadhollow.http1.body import IncomingBody
from leadhollow.http1.headers import Headers
from leadhollow.http1.messages import RequestHead

STORED = "015511ca4d1afe84ff87324aee635254"
"""Fingerprint that earlier releases stored for the request below."""


class TestFingerprintOfARequest:
    # Verdicts that an earlier release stored would no longer apply after an update.
    def test_is_that_of_earlier_releases(self):
        head = RequestHead(method=b"POST", target=b"/ask/p?x=1", headers=Headers(items=[]))
        incoming = IncomingBody(pause=lambda: None, resume=lambda: None)
        body = RequestBody(head=head, incoming=incoming, limit_bytes=100, retention=BodyRetention())
        assert fingerprint_of(head, body, organisation="ploughs").hex() == STORED


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
