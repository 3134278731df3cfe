"""Work that this host has given to each target, to correct old reports."""

import collections

MAX_TARGETS = 4096
MAX_BUCKETS = 128
BUCKET_SECONDS = 0.05
RESERVATION_SECONDS = 1.0


class _Account:
    """Work of this host at one target."""

    __slots__ = ("changes", "reserved", "running", "seconds")

    def __init__(self):
        self.running = 0
        self.reserved = collections.deque(maxlen=MAX_BUCKETS)
        self.changes = collections.deque(maxlen=MAX_BUCKETS)
        self.seconds = None

    def change(self, now, amount):
        """Note that work began (1) or ended (-1)."""
        self.running = max(0, self.running + amount)
        bucket = now - now % BUCKET_SECONDS
        if self.changes and self.changes[-1][0] == bucket:
            bucket, before = self.changes.pop()
            amount += before
        self.changes.append((bucket, amount))

    def net_since(self, time):
        """Return work begun less work ended since a time."""
        total = 0
        for bucket, amount in reversed(self.changes):
            if bucket < time:
                break
            total += amount
        return total

    def pending(self, now):
        """Return reservations that were not used yet."""
        while self.reserved and self.reserved[0] <= now:
            self.reserved.popleft()
        return len(self.reserved)


class LoadBook:
    """Counts what this host runs at each target, by address.

    A report of a target is old when it is used. The load of a target is
    what was reported, plus what this host began there since, less what
    ended, and never below what this host runs there now.

    Examples
    --------
    >>> book = LoadBook()
    >>> book.started("127.0.0.1:1", 10.0)
    >>> book.load("127.0.0.1:1", 4, 9.0, 10.0)
    5
    >>> book.load("127.0.0.1:1", 4, 11.0, 11.0)
    4
    """

    __slots__ = ("_accounts",)

    def __init__(self):
        self._accounts = collections.OrderedDict()

    def reserve(self, address, now):
        """Note that a target was chosen and its work begins soon."""
        account = self._account(address)
        account.reserved.append(now + RESERVATION_SECONDS)

    def started(self, address, now):
        """Note that work began."""
        account = self._account(address)
        if account.pending(now):
            account.reserved.popleft()
        account.change(now, 1)

    def ended(self, address, now):
        """Note that work ended."""
        self._account(address).change(now, -1)

    def timed(self, address, seconds, share=0.2):
        """Note how long a call took, as a moving average."""
        account = self._account(address)
        before = account.seconds
        if before is None:
            account.seconds = seconds
        else:
            account.seconds = before + share * (seconds - before)

    def running(self, address):
        """Return how much work of this host runs at a target."""
        account = self._accounts.get(address)
        return account.running if account else 0

    def seconds(self, address):
        """Return the average time of a call, or None."""
        account = self._accounts.get(address)
        return account.seconds if account else None

    def load(self, address, reported, reported_at, now):
        """Return the corrected load of a target.

        Parameters
        ----------
        address : str
            The target.
        reported : int
            Load that it reported.
        reported_at : float
            Monotonic time of the report.
        now : float
            Monotonic time.
        """
        account = self._accounts.get(address)
        if account is None:
            return reported
        corrected = reported + account.net_since(reported_at)
        return max(corrected, account.running) + account.pending(now)

    def own(self, address, now):
        """Return this host's work at a target, with what begins soon."""
        account = self._accounts.get(address)
        return account.running + account.pending(now) if account else 0

    def _account(self, address):
        account = self._accounts.get(address)
        if account is None:
            account = self._accounts[address] = _Account()
            self._drop_idle()
        return account

    def _drop_idle(self):
        """Drop the oldest account; one with work goes to the end."""
        for _ in range(len(self._accounts) - MAX_TARGETS):
            address, account = self._accounts.popitem(last=False)
            if account.running:
                self._accounts[address] = account
