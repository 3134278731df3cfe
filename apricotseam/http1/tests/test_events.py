"""Events are split correctly however the stream arrives in pieces."""

import contextlib

from hypothesis import given
from hypothesis import strategies
import pytest

from apricotseam.http1 import EventSplitter
from apricotseam.http1 import MalformedAnswerError

STREAM = b"".join(b"id: %d\ndata: t%d\n\n" % (n, n) for n in range(1, 8))


@given(strategies.lists(strategies.integers(0, len(STREAM)), max_size=12))
def test_pieces_do_not_matter(cuts):
    edges = sorted({0, len(STREAM), *cuts})
    splitter = EventSplitter()
    events = []
    for first, last in zip(edges, edges[1:]):
        events.extend(splitter.feed(STREAM[first:last]))
    assert [event.number for event in events] == list(range(1, 8))
    assert b"".join(event.data for event in events) == STREAM
    assert not splitter.has_incomplete_event


def test_cut_event_is_not_given_out():
    splitter = EventSplitter()
    events = splitter.feed(STREAM[:-1])
    assert [event.number for event in events] == list(range(1, 7))
    assert splitter.has_incomplete_event


# What stands in the bytes of one event, and whether it is the head of another
# response.
HEADS = [
    (b"HTTP/1.1 503 Service Unavailable\r\nA: b\r\n\r\nid: 1\n\n", True),
    (b"id: 1\nHTTP/1.0 200 OK\n\n", True),
    (b"data: HTTP/1.1 503 is a status\n\n", False),
    (b"id: 1\ndata: a\ndata:HTTP/1.1 200 OK\n\n", False),
]


@pytest.mark.parametrize(("data", "is_head"), HEADS)
@pytest.mark.parametrize("step", [1, 7, 1000])
def test_head_of_another_response_within_events(data, is_head, step):
    """Guards against the head of an answer in the middle of a stream."""
    splitter = EventSplitter()
    found = contextlib.nullcontext()
    if is_head:
        found = pytest.raises(MalformedAnswerError)
    with found:
        for start in range(0, len(data), step):
            splitter.feed(data[start : start + step])


@pytest.mark.parametrize("digits", [b"9" * 5000, b"\xb2", b"-1", b""])
def test_event_with_an_odd_number(digits):
    """Guards against requests that fail on the number of an event."""
    [event] = EventSplitter().feed(b"id: " + digits + b"\ndata: a\n\n")
    assert event.number is None
