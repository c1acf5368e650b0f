"""Updates of suspect tables from other processes: merging, validation and message size."""

from __future__ import annotations

import pytest
from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.TSerialization import serialize

from leadhollow.codes import Code
from leadhollow.decide.server_ends import ServerEnd, Verdict
from leadhollow.decide.suspects import MAX_SUSPECTS_PER_END, SuspectTable
from leadhollow.membership.suspect_news import MAX_RECORDS, all_records, encode_news, merge_news
from leadhollow.wire.generated.ttypes import ServerEnd as EndRecord
from leadhollow.wire.generated.ttypes import SuspectNews
from leadhollow.wire.generated.ttypes import Verdict as VerdictRecord

NOW_S = 50.0
GOOD = b"g" * 16
BAD = b"b" * 16


def empty_table() -> SuspectTable:
    return SuspectTable(clock=lambda: NOW_S)


def full_table() -> SuspectTable:
    table = empty_table()
    table.merge_end(ServerEnd(life="i-1@1", ran=[GOOD, BAD], cleared=[GOOD], happened_s=NOW_S - 3))
    table.merge_end(ServerEnd(life="i-2@1", ran=[BAD], alive=True, happened_s=NOW_S - 2))
    table.merge_verdict(
        Verdict(fingerprint=BAD, number=2, released=False, lives=("i-1@1",), since_s=NOW_S - 1)
    )
    return table


class TestNews:
    def test_full_table_is_reproduced(self):
        sender, receiver = full_table(), empty_table()
        news = encode_news(sender, all_records(sender), NOW_S, address="one")
        changed = merge_news(receiver, news, NOW_S + 0.1).unwrap()
        assert changed.lives == {"i-1@1", "i-2@1"}
        assert changed.fingerprints == {BAD}
        assert receiver.checksum() == sender.checksum() == news.mark
        assert receiver.is_quarantined(BAD)
        end = receiver.end("i-1@1")
        assert end is not None
        assert end.happened_s == pytest.approx(NOW_S - 2.9)

    def test_known_records_change_nothing(self):
        sender, receiver = full_table(), empty_table()
        news = encode_news(sender, all_records(sender), NOW_S)
        merge_news(receiver, news, NOW_S)
        assert not merge_news(receiver, news, NOW_S).unwrap()

    def test_one_end_with_sixteen_requests_takes_less_than_400_bytes(self):
        table = empty_table()
        ran = [bytes([number]) * 16 for number in range(16)]
        table.merge_end(ServerEnd(life="i-0123456789@1764736000000", ran=ran, happened_s=NOW_S))
        news = encode_news(table, all_records(table), NOW_S)
        assert len(serialize(news, TCompactProtocolAcceleratedFactory())) < 400

    @pytest.mark.parametrize(
        "news",
        [
            SuspectNews("", 1, [EndRecord("i", [b"short"], [], 0, False)], []),
            SuspectNews("", 1, [EndRecord("i", [GOOD], [b"x" * 17], 0, False)], []),
            SuspectNews("", 1, [EndRecord("", [GOOD], [], 0, False)], []),
            SuspectNews("", 1, [], [VerdictRecord(None, 1, False, [], 0)]),
            SuspectNews("", 1, [], [VerdictRecord(GOOD, 1, False, [], 0)] * (MAX_RECORDS + 1)),
            SuspectNews(
                "", 1, [EndRecord("i", [GOOD] * (MAX_SUSPECTS_PER_END + 1), [], 0, False)], []
            ),
        ],
        ids=["short", "long", "no life", "no request", "too many", "too many of one"],
    )
    def test_one_invalid_record_refuses_the_whole_message(self, news):
        table = full_table()
        before = table.checksum()
        news.verdicts = [*(news.verdicts or ()), VerdictRecord(GOOD, 9, False, [], 0)]
        result = merge_news(table, news, NOW_S)
        assert result.unwrap_err().code is Code.FRAME_MALFORMED
        assert table.checksum() == before
        assert not table.is_quarantined(GOOD)

    def test_empty_message_changes_nothing(self):
        assert not merge_news(empty_table(), SuspectNews(), NOW_S).unwrap()
