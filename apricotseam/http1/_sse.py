"""Splits a byte stream into server-sent events."""

import re

from apricotseam.decoding import parse_count
from apricotseam.http1._errors import MalformedAnswerError

# A longer event is given up; those of targets hold a few tokens.
MAX_EVENT_BYTES = 1 << 20
END_OF_EVENT = b"\n\n"
# First line of the head of another response.
_STATUS_LINE = re.compile(rb"^HTTP/[0-9.]+ [0-9]{3}", re.MULTILINE)


class Event:
    """One complete server-sent event.

    Parameters
    ----------
    data : bytes
        Bytes of the event, including the blank line that ends it.
    number : int or None
        Value of the ``id`` field; None if it is missing or no integer of at
        most 18 digits.
    """

    __slots__ = ("data", "number")

    def __init__(self, data, number):
        self.data = data
        self.number = number


class EventSplitter:
    """Buffers received bytes and returns the complete events.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> [e.number for e in splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2\\n")]
    [1]
    >>> splitter.has_incomplete_event
    True
    """

    __slots__ = ("_incomplete",)

    def __init__(self):
        self._incomplete = bytearray()

    @property
    def has_incomplete_event(self):
        """Whether the buffer holds the start of an incomplete event."""
        return bool(self._incomplete.strip())

    @property
    def held_bytes(self):
        """Size of the incomplete event."""
        return len(self._incomplete)

    def discard(self):
        """Forget the incomplete event."""
        self._incomplete.clear()

    def feed(self, data):
        """Add received bytes; return the `Event` objects they complete.

        Raises
        ------
        MalformedAnswerError
            If the incomplete event is longer than `MAX_EVENT_BYTES`, or a
            complete one contains the head of another response.
        """
        buffered = self._incomplete
        # What was searched before can only hold the start of the end.
        searched = max(0, len(buffered) - len(END_OF_EVENT) + 1)
        buffered += data
        events = []
        start = 0
        while (end := buffered.find(END_OF_EVENT, searched)) >= 0:
            searched = end + len(END_OF_EVENT)
            event_bytes = bytes(buffered[start:searched])
            if _STATUS_LINE.search(event_bytes):
                raise MalformedAnswerError(
                    "an event contains the head of another response",
                    "repeat the request if it can be resumed",
                )
            events.append(Event(event_bytes, _event_id(event_bytes)))
            start = searched
        del buffered[:start]
        if len(buffered) > MAX_EVENT_BYTES:
            raise MalformedAnswerError(
                f"an event is longer than {MAX_EVENT_BYTES} bytes",
                "repeat the request if it can be resumed",
            )
        return events


def _event_id(event_bytes):
    for line in event_bytes.split(b"\n"):
        if line.startswith(b"id:"):
            return parse_count(line[3:].strip().decode("latin-1"))
    return None
