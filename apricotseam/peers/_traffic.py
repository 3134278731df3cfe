"""Counts of messages and connections between hosts."""

import collections


class KindTraffic:
    """Messages of one kind in one direction and the bytes of their bodies."""

    __slots__ = ("bytes", "messages")

    def __init__(self):
        self.bytes = 0
        self.messages = 0

    def count(self, size_bytes):
        """Count one message with a body of a number of bytes."""
        self.messages += 1
        self.bytes += size_bytes


class Traffic:
    """Messages and connections between this host and its peers.

    Attributes
    ----------
    sent, received : dict of str to KindTraffic
        Traffic by kind of message.
    connections_opened, connections_evicted : int
        Connections that were opened, and those that were closed to keep
        their number within its limit.

    Examples
    --------
    >>> traffic = Traffic()
    >>> traffic.sent["Ping"].count(20)
    >>> traffic.messages_sent, traffic.bytes_sent, traffic.messages_received
    (1, 20, 0)
    """

    __slots__ = (
        "connections_evicted",
        "connections_opened",
        "received",
        "sent",
    )

    def __init__(self):
        self.connections_evicted = 0
        self.connections_opened = 0
        self.received = collections.defaultdict(KindTraffic)
        self.sent = collections.defaultdict(KindTraffic)

    @property
    def bytes_received(self):
        """Bytes of the bodies of all received messages."""
        return sum(kind.bytes for kind in self.received.values())

    @property
    def bytes_sent(self):
        """Bytes of the bodies of all sent messages."""
        return sum(kind.bytes for kind in self.sent.values())

    @property
    def messages_received(self):
        """Number of received messages."""
        return sum(kind.messages for kind in self.received.values())

    @property
    def messages_sent(self):
        """Number of sent messages."""
        return sum(kind.messages for kind in self.sent.values())
