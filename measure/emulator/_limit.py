"""Limits that emulated targets state, and whether the hosts keep to them."""

import collections

import msgspec

# Any window of this length is checked.
WINDOW_SECONDS = 4.0
# A window may contain the stated rate times this factor, plus this many
# requests.
ALLOWED_FACTOR = 1.5
ALLOWED_EXTRA = 5
# A host is bound from this time after it received an answer with a limit.
GRACE_SECONDS = 0.5
# The fleet as a whole is bound from this time after the first such answer.
FLEET_SECONDS = 1.0


class Arrival(msgspec.Struct, frozen=True):
    """A request that a target received from a host, in simulated seconds."""

    at: float
    host: str


class RequestLimit:
    """The limit that one target states, and what it received.

    Attributes
    ----------
    arrivals : list of Arrival
        All requests for work, in order of time.
    """

    def __init__(self):
        self.arrivals = []
        # Pairs of a time and the rate stated from then on, None for none.
        self._stated = []
        # Time at which each host first received a limit.
        self._told_at = {}

    @property
    def requests_per_second(self):
        """The rate that is stated at present, None if none is."""
        return self._stated[-1][1] if self._stated else None

    @property
    def first_told_at(self):
        """Time of the first answer with a limit, or None."""
        return min(self._told_at.values(), default=None)

    def state(self, requests_per_second, now):
        """State a rate from now on; None ends the limit."""
        self._stated.append((now, requests_per_second))

    def tell(self, host, at):
        """Record that a host receives an answer with a limit at a time."""
        if self.requests_per_second is not None:
            self._told_at.setdefault(host, at)

    def receive(self, host, now):
        """Record a request for work."""
        self.arrivals.append(Arrival(now, host))

    def worst_excess(self):
        """Return the largest excess over what hosts that were told may send.

        It is a number of requests, negative if there were always fewer.
        """
        counted = [
            arrival
            for arrival in self.arrivals
            if arrival.at
            >= self._told_at.get(arrival.host, float("inf")) + GRACE_SECONDS
        ]
        return self._excess(counted)

    def worst_excess_of_fleet(self):
        """Return the largest excess once the fleet should know the limit.

        It counts the requests of all hosts, told by the target or not.
        """
        if self.first_told_at is None:
            return -float(ALLOWED_EXTRA)
        begin = self.first_told_at + FLEET_SECONDS
        return self._excess([a for a in self.arrivals if a.at >= begin])

    def _excess(self, arrivals):
        worst = -float(ALLOWED_EXTRA)
        window = collections.deque()
        for arrival in arrivals:
            window.append(arrival.at)
            while window[0] < arrival.at - WINDOW_SECONDS:
                window.popleft()
            allowed = self._allowed(arrival.at)
            if allowed is not None:
                worst = max(worst, len(window) - allowed)
        return worst

    def _allowed(self, now):
        """Return what the window up to a time may contain, None for all."""
        begin = now - WINDOW_SECONDS
        rates = []
        ends = [at for at, _ in self._stated[1:]] + [float("inf")]
        for (since, rate), until in zip(self._stated, ends):
            if since <= now and until > begin:
                rates.append(rate)
        if not rates or None in rates:
            return None
        return ALLOWED_FACTOR * max(rates) * WINDOW_SECONDS + ALLOWED_EXTRA
