"""What one host may use of each customer's limits, and what it used."""

import collections

from apricotseam.admission._bucket import TokenBucket
from apricotseam.admission._sharerules import Claim
from apricotseam.admission._sharerules import floor_share
from apricotseam.admission._sharerules import LEASE_SECONDS
from apricotseam.admission._sharerules import MAX_KEYS
from apricotseam.admission._sharerules import ShareReport
from apricotseam.admission._sharerules import YOUNG_SECONDS
from apricotseam.errors import LimitExceededError

ACTIVE_SECONDS = 10.0
MAX_DEMAND = 4.0
MIN_ELAPSED_SECONDS = 0.2
MIN_RETRY_AFTER_SECONDS = 0.1
MAX_RETRY_AFTER_SECONDS = 30.0


class _Use:
    """Buckets, loan and demand of one customer at this host."""

    __slots__ = (
        "active_deadline",
        "counted_from",
        "held",
        "lease_deadline",
        "offered_requests",
        "offered_tokens",
        "requests",
        "share",
        "streams",
        "tokens",
    )

    def __init__(self, work, share, now):
        self.requests = TokenBucket(share * work.requests_per_second, now)
        self.tokens = TokenBucket(share * work.tokens_per_second, now)
        self.streams = 0
        self.share = 0.0
        self.held = 0
        self.lease_deadline = 0.0
        self.offered_requests = 0
        self.offered_tokens = 0
        self.counted_from = now
        self.active_deadline = now + ACTIVE_SECONDS

    def lent(self, now):
        """Return the share on loan that has not lapsed."""
        return self.share if now < self.lease_deadline else 0.0


class ShareHolder:
    """Counts requests against this host's shares of customers' limits.

    Parameters
    ----------
    host : str
        Name of this process among all that ever ran.
    now : float
        Monotonic time at which the process began.
    """

    __slots__ = (
        "_fleet",
        "_host",
        "_limits",
        "_number",
        "_uses",
        "_young_deadline",
    )

    def __init__(self, host, now):
        self._host = host
        self._young_deadline = now + YOUNG_SECONDS
        self._number = 0
        self._fleet = 1
        self._uses = collections.OrderedDict()
        self._limits = {}

    def set_fleet(self, hosts):
        """Take the number of all hosts."""
        self._fleet = max(1, hosts)

    def share(self, customer, now):
        """Return the share of a customer's limits that this host has."""
        use = self._uses.get(customer)
        lent = use.lent(now) if use else 0.0
        is_young = now < self._young_deadline
        return floor_share(self._fleet, is_young) + lent

    def has_loan(self, customer, now):
        """Return whether a loan for the customer is in force."""
        use = self._uses.get(customer)
        return use is not None and now < use.lease_deadline

    def take(self, customer, work, now):
        """Count one request.

        Raises
        ------
        LimitExceededError
            If the customer is over a limit here.
        """
        use = self._use(customer, work, now)
        use.active_deadline = now + ACTIVE_SECONDS
        use.offered_requests += 1
        use.offered_tokens += work.tokens
        share = self.share(customer, now)
        use.requests.set_rate(share * work.requests_per_second, now)
        use.tokens.set_rate(share * work.tokens_per_second, now)
        if use.streams >= max(1, int(share * work.max_streams)):
            raise _exceeded(work, "streams", MIN_RETRY_AFTER_SECONDS)
        if not use.requests.take(1, now):
            raise _exceeded(work, "requests", use.requests.wait(now))
        if not use.tokens.take(work.tokens, now):
            use.requests.give_back(1)
            raise _exceeded(work, "tokens", use.tokens.wait(now))
        use.streams += 1

    def give_back(self, customer, work):
        """Undo `take` for a request that did not run."""
        use = self._uses.get(customer)
        if use is not None:
            use.streams -= 1
            use.requests.give_back(1)
            use.tokens.give_back(work.tokens)

    def ended(self, customer, work, tokens):
        """Note that a request ended and the tokens that it used."""
        use = self._uses.get(customer)
        if use is not None:
            use.streams -= 1
            use.tokens.give_back(max(0, work.tokens - tokens))

    def reports(self, owners, now):
        """Return the `ShareReport` for each owner of active customers.

        Parameters
        ----------
        owners : Owners
            Owner of each customer.
        now : float
            Monotonic time.
        """
        claims = {}
        for customer, use in list(self._uses.items()):
            if use.active_deadline <= now and not use.streams:
                del self._uses[customer]
                del self._limits[customer]
                continue
            owner = owners.owner(customer)
            if owner is not None:
                claim = self._claim(customer, use, now)
                claims.setdefault(owner, []).append(claim)
        return {owner: self._report(found) for owner, found in claims.items()}

    def report_of(self, customer, now):
        """Return a `ShareReport` about one customer."""
        claim = self._claim(customer, self._uses[customer], now)
        return self._report([claim])

    def accept(self, answer, sent_at):
        """Take the loans of an answer to a report.

        Parameters
        ----------
        answer : ShareAnswer
            Answer of an owner.
        sent_at : float
            Monotonic time at which the report was sent, from which the
            lease counts.
        """
        for loan in answer.loans:
            use = self._uses.get(loan.customer)
            if use is not None and answer.number > use.held:
                use.held = answer.number
                use.share = loan.share
                use.lease_deadline = sent_at + LEASE_SECONDS

    def _claim(self, customer, use, now):
        demand = self._demand(customer, now)
        return Claim(customer, demand, use.held, use.lent(now))

    def _report(self, claims):
        self._number += 1
        return ShareReport(self._host, self._number, claims)

    def _demand(self, customer, now):
        """Return the offered load as a share of the limit."""
        use = self._uses[customer]
        work = self._limits[customer]
        elapsed = max(now - use.counted_from, MIN_ELAPSED_SECONDS)
        demand = max(
            use.offered_requests / elapsed / work.requests_per_second,
            use.offered_tokens / elapsed / work.tokens_per_second,
            use.streams / work.max_streams,
        )
        use.offered_requests = 0
        use.offered_tokens = 0
        use.counted_from = now
        return min(demand, MAX_DEMAND)

    def _use(self, customer, work, now):
        use = self._uses.get(customer)
        if use is None:
            use = _Use(work, self.share(customer, now), now)
            self._uses[customer] = use
            if len(self._uses) > MAX_KEYS:
                dropped, _ = self._uses.popitem(last=False)
                self._limits.pop(dropped, None)
        self._limits[customer] = work
        return use


def _exceeded(work, what, wait):
    retry_after = min(
        max(wait, MIN_RETRY_AFTER_SECONDS), MAX_RETRY_AFTER_SECONDS
    )
    return LimitExceededError(
        f"customer {work.customer} is over its limit of {what}",
        f"send it again after {retry_after:.1f} s",
        retry_after,
    )
