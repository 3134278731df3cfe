"""Accounting of the memory that all hosts' requests hold on targets."""

import msgspec

# A peer's usage is discarded if it sends no message for this time.
PEER_EXPIRY_SECONDS = 4.0
# Peers that are not heard yet whose start work counts. With all of them, hosts
# refused most requests after a restart; with none, they sent too much.
MAX_SILENT_STARTERS = 3
# Less start work than this is a rounding error.
LEAST_START_MS = 1e-3


class Usage(msgspec.Struct, array_like=True):
    """Usage of one resource by one host or by several hosts together.

    A resource is a target or the link between zones. ``units`` is the memory
    in use, in tokens times layers. ``requests`` is the number of requests in
    progress. ``start_ms`` is the time in milliseconds that the resource needs
    for the prompts of requests whose answers have not begun.
    """

    units: float = 0.0
    requests: int = 0
    start_ms: float = 0.0

    def rounded(self):
        """Return a copy in whole numbers, which take up few bytes."""
        return Usage(round(self.units), self.requests, round(self.start_ms))


_NO_USAGE = Usage()


class PeerUsage(msgspec.Struct, frozen=True):
    """Message with the usage by target identity of one or more hosts.

    ``number`` grows with each message of a host. ``hosts`` is the number of
    hosts of this host's availability zone that the usage covers; 0 stands
    for the hosts of other zones.
    """

    host: str
    number: int
    usages: dict[str, Usage]
    hosts: int = 1


class Booking:
    """Memory that one request holds on the targets of its chain.

    Parameters
    ----------
    tokens : float
        Number of tokens that it is expected to hold.
    shares : list of tuple
        Pairs of target identity and number of layers that the target runs.
    start_work : iterable of tuple
        Pairs of resource and milliseconds that it needs for the prompt.
    """

    __slots__ = ("shares", "start_work", "tokens")

    def __init__(self, tokens, shares, start_work=()):
        self.tokens = tokens
        self.shares = shares
        self.start_work = tuple(start_work)


class Ledger:
    """Records this host's bookings on targets and the usage by its peers.

    Parameters
    ----------
    on_release : callable, optional
        Called with True when this host releases a booking, and with False
        when the usage by peers changes.
    expected_peers : callable, optional
        Returns the number of peers that should send their usage. A peer
        that has sent none is assumed to have the same usage as this host,
        so that hosts which start together do not all choose the same
        targets.
    """

    def __init__(self, on_release=None, expected_peers=None):
        self._on_release = on_release or (lambda is_own: None)
        self._expected_peers = expected_peers or (lambda: 0)
        self._own = {}
        self._peers = {}
        # Sums over all peers; None if they have to be recomputed.
        self._peer_totals = None
        # Number of peers of the own zone whose usage is known.
        self._peer_host_count = 0
        self._bookings = set()
        # Number of bookings made and released so far.
        self.changes = 0

    @property
    def own(self):
        """Usage by this host, by target identity."""
        return self._own

    def used_units(self, identity):
        """Return the estimated usage of a target in tokens times layers.

        Peers that should have sent their usage but have not count as much
        as this host.
        """
        own, peers = self._usages(identity)
        return own.units * (1 + self._missing_peers()) + peers.units

    def running(self, identity):
        """Return the number of requests in progress at a target."""
        return sum(usage.requests for usage in self._usages(identity))

    def news_seconds(self, now):
        """Return the age of the oldest news of peers that still counts.

        It is 0 if no peer has sent any.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        """
        ages = (
            now - until + PEER_EXPIRY_SECONDS
            for _, until in self._peers.values()
        )
        return max(ages, default=0.0)

    def _missing_peers(self):
        """Return the number of expected peers that have sent no usage."""
        return max(0, self._expected_peers() - self._peer_host_count)

    def start_ms(self, resource):
        """Return the start work under way on a resource, in milliseconds.

        Peers that should have sent their usage but have not count as much
        as this host, up to `MAX_SILENT_STARTERS`. Unlike memory, prompts
        are read within a fraction of the time after which peers are heard.
        """
        own, peers = self._usages(resource)
        silent = min(self._missing_peers(), MAX_SILENT_STARTERS)
        return own.start_ms * (1 + silent) + peers.start_ms

    def book(self, tokens, shares, start_work=()):
        """Book memory and time for a request and return its `Booking`.

        The parameters are those of `Booking`.
        """
        booking = Booking(tokens, shares, start_work)
        self._bookings.add(booking)
        self._add(booking, 1)
        return booking

    def record_start(self, booking):
        """Release the time of a booking, as the answer has begun."""
        if booking in self._bookings and booking.start_work:
            self._add_start_work(booking, -1)
            booking.start_work = ()
            self._on_release(False)

    def release(self, booking):
        """Release a booking; releasing it again does nothing."""
        if booking in self._bookings:
            self._bookings.discard(booking)
            self._add(booking, -1)
            self._on_release(True)

    def update_peer(self, usage, now):
        """Record the usage by a peer; an outdated message is ignored.

        Parameters
        ----------
        usage : PeerUsage
            Message of the peer.
        now : float
            Monotonic time in seconds.
        """
        known = self._peers.get(usage.host)
        if known is not None and known[0].number >= usage.number:
            return
        self._peers[usage.host] = (usage, now + PEER_EXPIRY_SECONDS)
        self._invalidate_totals()

    def forget_target(self, identity):
        """Discard what is booked on a target whose process has ended.

        Parameters
        ----------
        identity : str
            Its identity, which another process has taken.
        """
        for booking in self._bookings:
            if identity not in dict(booking.shares):
                continue
            self._add(booking, -1)
            booking.shares = [s for s in booking.shares if s[0] != identity]
            booking.start_work = tuple(
                work for work in booking.start_work if work[0] != identity
            )
            self._add(booking, 1)
        self._own.pop(identity, None)
        for host, (usage, until) in self._peers.items():
            usages = {i: u for i, u in usage.usages.items() if i != identity}
            changed = msgspec.structs.replace(usage, usages=usages)
            self._peers[host] = (changed, until)
        self._invalidate_totals()

    def forget_peers(self):
        """Discard the usage by all peers."""
        self._peers.clear()
        self._invalidate_totals()

    def zone_totals(self):
        """Return the usage by all hosts of this host's availability zone.

        Returns
        -------
        dict of str to Usage
            Usage by target identity.
        """
        peers = (peer.usages for peer in self._zone_messages())
        return sum_usages([self._own, *peers])

    def other_zones_totals(self):
        """Return the usage by hosts of other zones, by target identity."""
        return sum_usages(
            peer.usages for peer, _ in self._peers.values() if not peer.hosts
        )

    def _zone_messages(self):
        """Return the latest messages about hosts of this host's zone."""
        return [p for p, _ in self._peers.values() if p.hosts]

    def expire(self, now):
        """Discard the usage by peers that have sent no message recently.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        """
        silent = [h for h, (_, until) in self._peers.items() if now >= until]
        for host in silent:
            del self._peers[host]
        if silent:
            self._invalidate_totals()

    def _add(self, booking, sign):
        """Add a booking to this host's usage (1) or subtract it (-1)."""
        self.changes += 1
        for identity, layers in booking.shares:
            usage = self._own.get(identity)
            if usage is None:
                usage = self._own[identity] = Usage()
            usage.units += sign * booking.tokens * layers
            usage.requests += sign
        self._add_start_work(booking, sign)
        for identity, _ in booking.shares:
            self._drop_unused(identity)

    def _add_start_work(self, booking, sign):
        """Add a booking's start work (1) or subtract it (-1)."""
        self.changes += 1
        for resource, milliseconds in booking.start_work:
            usage = self._own.get(resource)
            if usage is None:
                usage = self._own[resource] = Usage()
            usage.start_ms += sign * milliseconds
            self._drop_unused(resource)

    def _drop_unused(self, resource):
        """Forget a resource without requests; fractions may leave a rest."""
        usage = self._own.get(resource)
        if usage is None or usage.requests > 0:
            return
        if usage.start_ms < LEAST_START_MS:
            del self._own[resource]

    def _usages(self, identity):
        """Return the usage of a target by this host and by all peers."""
        if self._peer_totals is None:
            peers = (peer.usages for peer, _ in self._peers.values())
            self._peer_totals = sum_usages(peers)
            self._peer_host_count = sum(
                peer.hosts for peer in self._zone_messages()
            )
        totals = self._peer_totals
        return self._own.get(identity, _NO_USAGE), totals.get(
            identity, _NO_USAGE
        )

    def _invalidate_totals(self):
        """Mark the sums over peers as outdated and notify of the change."""
        self._peer_totals = None
        self._on_release(False)


def sum_usages(usage_maps):
    """Return the sum of usages by target identity."""
    totals = {}
    for usages in usage_maps:
        for identity, usage in usages.items():
            total = totals.setdefault(identity, Usage())
            total.units += usage.units
            total.requests += usage.requests
            total.start_ms += usage.start_ms
    return totals
