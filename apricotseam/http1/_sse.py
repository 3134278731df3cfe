"""Server-sent events, cut out of a stream of bytes."""


class Event:
    """One whole event.

    Parameters
    ----------
    data : bytes
        Its bytes with the blank line that ends it.
    number : int or None
        Its id, if it has one that is a number.
    """

    __slots__ = ("data", "number")

    def __init__(self, data, number):
        self.data = data
        self.number = number


class EventSplitter:
    """Collects bytes and returns the events that are whole.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> [e.number for e in splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2\\n")]
    [1]
    >>> splitter.has_rest
    True
    """

    __slots__ = ("_rest",)

    def __init__(self):
        self._rest = b""

    @property
    def has_rest(self):
        """Whether an event has begun and is not whole."""
        return bool(self._rest.strip())

    def feed(self, data):
        """Add bytes and return the list of `Event` that they complete."""
        buffered = self._rest + data
        events = []
        start = 0
        while True:
            end = buffered.find(b"\n\n", start)
            if end < 0:
                break
            block = buffered[start : end + 2]
            events.append(Event(block, _number(block)))
            start = end + 2
        self._rest = buffered[start:]
        return events


def _number(block):
    for line in block.split(b"\n"):
        if line.startswith(b"id:"):
            value = line[3:].strip()
            return int(value) if value.isdigit() else None
    return None
