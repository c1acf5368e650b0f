"""Tests of encoding and decoding frames, including malformed bytes."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from leadhollow.codes import Code
from leadhollow.wire.codec import LENGTH, Frame, decode_frame, encode_frame
from leadhollow.wire.generated.ttypes import Dispatch, Header, Hello
from leadhollow.wire.messages import BODY_TYPES, FrameKind


def sample() -> bytes:
    body = Hello("vm-1", "domain-1", "token", 1)
    return encode_frame(Frame(kind=FrameKind.REQUEST, call_id=7, body=body))


class TestRoundTrip:
    def test_of_a_body(self):
        encoded = sample()
        assert LENGTH.unpack(encoded[:4])[0] == len(encoded) - 4
        frame = decode_frame(encoded[4:]).unwrap()
        assert (frame.kind, frame.call_id) == (FrameKind.REQUEST, 7)
        assert frame.body == Hello("vm-1", "domain-1", "token", 1)

    def test_of_a_failure(self):
        sent = Frame(kind=FrameKind.ERROR, call_id=9, code=504, detail="no")
        frame = decode_frame(encode_frame(sent)[4:]).unwrap()
        assert (frame.code, frame.detail, frame.body) == (504, "no", None)

    def test_of_every_body_type_without_fields(self):
        for body_type in BODY_TYPES.values():
            sent = Frame(kind=FrameKind.ONEWAY, call_id=0, body=body_type())
            assert isinstance(decode_frame(encode_frame(sent)[4:]).unwrap().body, body_type)

    @settings(max_examples=100, deadline=None, derandomize=True)
    @given(body=st.binary(max_size=300), path=st.text(max_size=50))
    def test_of_any_request(self, body, path):
        dispatch = Dispatch("id", 1, 2, "g", "m", "r", True, 5, "POST", path, {}, body, 0, True)
        sent = Frame(kind=FrameKind.REQUEST, call_id=1, body=dispatch)
        assert decode_frame(encode_frame(sent)[4:]).unwrap().body == dispatch


class TestMalformedFrames:
    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(data=st.binary(max_size=200))
    def test_decoding_arbitrary_bytes_never_raises(self, data):
        decode_frame(data)

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(position=st.integers(0, 40), mask=st.integers(1, 255), cut=st.integers(0, 10))
    def test_decoding_corrupted_frame_never_raises(self, position, mask, cut):
        data = bytearray(sample()[4:])
        data[position % len(data)] ^= mask
        decode_frame(bytes(data[: len(data) - cut]))

    def test_truncated_frame_is_malformed(self):
        failure = decode_frame(sample()[4:-3]).unwrap_err()
        assert failure.code is Code.FRAME_MALFORMED

    def test_failure_names_unknown_body_type(self):
        from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
        from thrift.transport.TTransport import TMemoryBuffer

        buffer = TMemoryBuffer()
        Header(1, 5, 9999).write(TCompactProtocolAccelerated(buffer, fallback=False))
        failure = decode_frame(buffer.getvalue()).unwrap_err()
        assert failure.code is Code.FRAME_TYPE_UNKNOWN
        assert "9999" in failure.detail
