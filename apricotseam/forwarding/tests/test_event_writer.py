"""What callers get of any bytes that go on with their stream."""

import asyncio
import types

from hypothesis import given
from hypothesis import strategies as st

from apricotseam.forwarding._event_writer import EventWriter
from apricotseam.http1 import EventSplitter
from apricotseam.http1 import MalformedAnswerError

# Number of the last event that the caller got.
LAST = 2
# Parts of answers, sound and odd ones.
PARTS = st.sampled_from(
    [
        *(b"id: %d\ndata: t%d\n\n" % (n, n) for n in range(1, 6)),
        b"id: 4\n",
        b"\n\n",
        b"data: x\n\n",
        b": comment\n\n",
        b"out of memory\n\n",
        b"HTTP/1.1 503 Service Unavailable\r\nA: b\r\n\r\n",
        b"id: " + b"9" * 30 + b"\n\n",
    ]
)
BODIES = st.lists(PARTS | st.binary(max_size=12), max_size=8).map(b"".join)


class FakeExchange:
    """Exchange that keeps what is written."""

    is_started = True

    def __init__(self):
        self.events = []

    async def write(self, data, deadline):
        """Keep the bytes of an event."""
        self.events.append(data)


def write_all(body, step):
    """Write what an answer holds, read in steps; return the events."""
    exchange = FakeExchange()
    call = types.SimpleNamespace(
        exchange=exchange,
        last_event=LAST,
        deadline=1.0,
        has_unnumbered_events=False,
    )

    async def write():
        writer = EventWriter(None, call)
        writer.begin()
        splitter = EventSplitter()
        for start in range(0, len(body), step):
            for event in splitter.feed(body[start : start + step]):
                if writer.accept(event):
                    await writer.write(None, event)

    try:
        asyncio.run(write())
    except MalformedAnswerError:
        pass
    return exchange.events, call


@given(body=BODIES, step=st.integers(1, 40))
def test_events_that_go_on_with_a_stream(body, step):
    """Guards against error texts, heads and repeats within a stream."""
    written, call = write_all(body, step)
    events = [
        event for data in written for event in EventSplitter().feed(data)
    ]
    assert len(events) == len(written)
    numbers = [e.number for e in events if e.number is not None]
    assert numbers == sorted({n for n in numbers if n > LAST})
    assert call.last_event == max([LAST, *numbers])
    shown = [e for e in events if not e.data.startswith(b":")]
    assert not shown or shown[0].number is not None
    has_unnumbered = any(e.number is None for e in shown)
    assert call.has_unnumbered_events is has_unnumbered
