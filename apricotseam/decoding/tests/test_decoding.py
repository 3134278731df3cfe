"""Any bytes and any values as other programs may write them."""

import json
import math
import socket

from hypothesis import given
from hypothesis import strategies as st
import msgspec
import pytest

from apricotseam.decoding import Amount
from apricotseam.decoding import Count
from apricotseam.decoding import decode_json
from apricotseam.decoding import is_address
from apricotseam.decoding import Name
from apricotseam.decoding import parse_count
from apricotseam.errors import InvalidInputError

ANY_JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from("abc"), inner, max_size=3)
    ),
    max_leaves=6,
)


class Record(msgspec.Struct):
    """Record with a field of each bounded type."""

    a: Count = 0
    b: Amount = 0.0
    c: Name = ""


DECODER = msgspec.json.Decoder(Record)


@given(value=st.binary(max_size=64) | ANY_JSON.map(json.dumps).map(str.encode))
def test_any_value_is_a_record_or_refused(value):
    """Guards against errors that no caller of a decoder expects."""
    try:
        record = decode_json(DECODER, value)
    except InvalidInputError:
        return
    assert msgspec.msgpack.encode(record)
    assert math.isfinite(record.a * record.b)


@pytest.mark.parametrize("depth", [10, 900, 2000, 100_000])
@pytest.mark.parametrize("opening", [b"[", b'{"x":'])
def test_any_depth_is_read_or_refused(depth, opening):
    """Guards against entries that are nested too deeply to be read."""
    for value in (opening * depth, b'{"x":' + opening * depth):
        with pytest.raises(InvalidInputError):
            decode_json(DECODER, value)


@given(
    text=st.text(max_size=12) | st.from_regex(r"[0-9]{1,30}", fullmatch=True)
)
def test_any_text_is_a_count_or_none(text):
    number = parse_count(text)
    assert number is None or 0 <= number < 10**18


@given(
    text=st.text(max_size=12)
    | st.from_regex(r"[a-z0-9.\[\]:_-]{1,80}:[0-9]{1,6}", fullmatch=True)
)
def test_any_address_that_is_taken_can_be_tried(text):
    """Guards against addresses on which a connection raises a value error."""
    if not is_address(text):
        return
    host, _, port = text.rpartition(":")
    host.encode("idna")
    with socket.socket() as probe:
        probe.settimeout(0)
        try:
            probe.connect(("127.0.0.1", int(port)))
        except OSError:
            pass
