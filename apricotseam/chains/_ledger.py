"""Memory that requests hold on targets, over all hosts."""

import msgspec

# What a peer said is forgotten after this time without a word of it.
PEER_SECONDS = 4.0


class Usage(msgspec.Struct, array_like=True):
    """What one host has in progress on one target."""

    units: float = 0.0
    requests: int = 0


_NONE = Usage()


class PeerUsage(msgspec.Struct, frozen=True):
    """What a host has in progress, by target identity.

    ``is_summary`` says that it is the sum of an availability zone.
    """

    host: str
    number: int
    usages: dict[str, Usage]
    is_summary: bool = False


class Booking:
    """Room that one request holds along its chain.

    Parameters
    ----------
    tokens : float
        Tokens that it is expected to hold.
    shares : list of tuple
        Target identities and the layers that each runs.
    """

    __slots__ = ("shares", "tokens")

    def __init__(self, tokens, shares):
        self.tokens = tokens
        self.shares = shares


class Ledger:
    """Books room on targets and adds up what peers booked.

    Parameters
    ----------
    on_free : callable, optional
        Called when this host gave room back, with True, or when peers
        did, with False.
    expected_peers : callable, optional
        Returns how many peers should tell what they have in progress.
        Those that have not been heard count as having as much as this
        host, so that hosts which start together do not all choose alike.
    """

    def __init__(self, on_free=None, expected_peers=None):
        self._on_free = on_free or (lambda is_own: None)
        self._expected_peers = expected_peers or (lambda: 0)
        self._own = {}
        self._peers = {}
        # Sums over peers; None when they have to be made again.
        self._peer_totals = None
        # Peers among them that are single hosts.
        self._heard = 0
        self._bookings = set()
        self.changes = 0

    @property
    def own(self):
        """What this host has in progress, by target identity."""
        return self._own

    def used_units(self, identity):
        """Return tokens times layers that should be in use at a target."""
        own, peers = self._usages(identity)
        return own.units * (1 + self._unheard_peers()) + peers.units

    def running(self, identity):
        """Return the number of requests in progress at a target."""
        return sum(usage.requests for usage in self._usages(identity))

    def _unheard_peers(self):
        return max(0, self._expected_peers() - self._heard)

    def book(self, tokens, shares):
        """Take room for a request and return its `Booking`."""
        booking = Booking(tokens, shares)
        self._bookings.add(booking)
        self._add(booking, 1)
        return booking

    def release(self, booking):
        """Give the room of a request back; a second time does nothing."""
        if booking in self._bookings:
            self._bookings.discard(booking)
            self._add(booking, -1)
            self._on_free(True)

    def take_peer(self, usage, now):
        """Take what a peer has in progress.

        Parameters
        ----------
        usage : PeerUsage
            The newest message of that peer.
        now : float
            Monotonic time in seconds.
        """
        known = self._peers.get(usage.host)
        if known is not None and known[0].number >= usage.number:
            return
        self._peers[usage.host] = (usage, now + PEER_SECONDS)
        self._forget_totals()

    def near_totals(self):
        """Return what this host and its peers have, without summaries.

        Returns
        -------
        dict of str to Usage
        """
        peers = (peer.usages for peer in self._near_peers())
        return _sum_up([self._own, *peers])

    def _near_peers(self):
        return [p for p, _ in self._peers.values() if not p.is_summary]

    def expire(self, now):
        """Forget peers that have not been heard for a while."""
        silent = [h for h, (_, until) in self._peers.items() if now >= until]
        for host in silent:
            del self._peers[host]
        if silent:
            self._forget_totals()

    def _add(self, booking, sign):
        self.changes += 1
        for identity, layers in booking.shares:
            usage = self._own.get(identity)
            if usage is None:
                usage = self._own[identity] = Usage()
            usage.units += sign * booking.tokens * layers
            usage.requests += sign
            if usage.requests <= 0:
                del self._own[identity]

    def _usages(self, identity):
        """Return what this host and all peers have at a target."""
        if self._peer_totals is None:
            peers = (peer.usages for peer, _ in self._peers.values())
            self._peer_totals = _sum_up(peers)
            self._heard = len(self._near_peers())
        totals = self._peer_totals
        return self._own.get(identity, _NONE), totals.get(identity, _NONE)

    def _forget_totals(self):
        """Let peers' usage be summed up with the next question."""
        self._peer_totals = None
        self._on_free(False)


def _sum_up(parts):
    """Return the sum of usages by target identity."""
    totals = {}
    for usages in parts:
        for identity, usage in usages.items():
            total = totals.setdefault(identity, Usage())
            total.units += usage.units
            total.requests += usage.requests
    return totals
