"""Enforces this host's share of each customer's limits."""

import collections

from apricotseam.admission._sharerules import Claim
from apricotseam.admission._sharerules import floor_share
from apricotseam.admission._sharerules import LEASE_SECONDS
from apricotseam.admission._sharerules import MAX_CUSTOMERS
from apricotseam.admission._sharerules import ShareReport
from apricotseam.admission._sharerules import STARTUP_SECONDS
from apricotseam.clock import TokenBucket
from apricotseam.errors import LimitExceededError

# Time after its last request for which a customer is reported to its owner.
ACTIVE_SECONDS = 10.0
# Largest demand that is reported, in multiples of a customer's limit.
MAX_DEMAND = 4.0
# Shortest time over which the demand is averaged.
MIN_ELAPSED_SECONDS = 0.2
MIN_RETRY_AFTER_SECONDS = 0.1
MAX_RETRY_AFTER_SECONDS = 30.0


class _CustomerUsage:
    """Buckets, loan and demand of one customer at this host.

    ``share`` is the share on loan, as a fraction of the customer's limits;
    ``held`` is the number of the report that the loan answers.
    ``offered_requests`` and ``offered_tokens`` count what arrived since
    ``offered_since``, whether it was admitted or not.
    """

    __slots__ = (
        "active_deadline",
        "held",
        "lease_deadline",
        "offered_requests",
        "offered_since",
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
        self.offered_since = now
        self.active_deadline = now + ACTIVE_SECONDS

    def lent_share(self, now):
        """Return the share on loan, or 0 after the loan has lapsed."""
        return self.share if now < self.lease_deadline else 0.0


class LocalShares:
    """Counts requests against this host's shares of customers' limits.

    Parameters
    ----------
    host : str
        Identifier of this process, unique over all hosts and restarts.
    now : float
        Monotonic time in seconds at which the process started.
    """

    __slots__ = (
        "_host",
        "_host_count",
        "_latest_work",
        "_report_number",
        "_startup_deadline",
        "_usages",
    )

    def __init__(self, host, now):
        self._host = host
        self._startup_deadline = now + STARTUP_SECONDS
        self._report_number = 0
        self._host_count = 1
        self._usages = collections.OrderedDict()
        self._latest_work = {}

    def set_host_count(self, hosts):
        """Set the total number of hosts in the fleet."""
        self._host_count = max(1, hosts)

    def share(self, customer, now):
        """Return the share of a customer's limits that this host may use."""
        usage = self._usages.get(customer)
        lent_share = usage.lent_share(now) if usage else 0.0
        is_starting = now < self._startup_deadline
        return floor_share(self._host_count, is_starting) + lent_share

    def has_loan(self, customer, now):
        """Return whether a loan for the customer has not lapsed."""
        usage = self._usages.get(customer)
        return usage is not None and now < usage.lease_deadline

    def acquire(self, customer, work, now):
        """Count one request.

        Raises
        ------
        LimitExceededError
            If the customer would exceed this host's share of a limit.
        """
        usage = self._usage_of(customer, work, now)
        usage.active_deadline = now + ACTIVE_SECONDS
        usage.offered_requests += 1
        usage.offered_tokens += work.tokens
        share = self.share(customer, now)
        usage.requests.set_rate(share * work.requests_per_second, now)
        usage.tokens.set_rate(share * work.tokens_per_second, now)
        if usage.streams >= max(1, int(share * work.max_streams)):
            raise _exceeded(work, "streams", MIN_RETRY_AFTER_SECONDS)
        if not usage.requests.take(1, now):
            raise _exceeded(
                work, "requests", usage.requests.seconds_until_available(now)
            )
        if not usage.tokens.take(work.tokens, now):
            usage.requests.refund(1)
            raise _exceeded(
                work, "tokens", usage.tokens.seconds_until_available(now)
            )
        usage.streams += 1

    def cancel(self, customer, work):
        """Undo `acquire` for a request that did not run."""
        usage = self._usages.get(customer)
        if usage is not None:
            usage.streams -= 1
            usage.requests.refund(1)
            usage.tokens.refund(work.tokens)

    def release(self, customer, work, tokens):
        """Record that a request ended and how many tokens it used."""
        usage = self._usages.get(customer)
        if usage is not None:
            usage.streams -= 1
            usage.tokens.refund(max(0, work.tokens - tokens))

    def reports(self, owners, now):
        """Return the reports to send, and drop customers that are inactive.

        Parameters
        ----------
        owners : Owners
            Owner of each customer.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        dict of str to ShareReport
            Report by address of the owner.
        """
        claims = {}
        for customer, usage in list(self._usages.items()):
            if usage.active_deadline <= now and not usage.streams:
                del self._usages[customer]
                del self._latest_work[customer]
                continue
            owner = owners.owner(customer)
            if owner is not None:
                claim = self._claim(customer, usage, now)
                claims.setdefault(owner, []).append(claim)
        return {
            owner: self._report(customer_claims)
            for owner, customer_claims in claims.items()
        }

    def report_of(self, customer, now):
        """Return a `ShareReport` for one customer."""
        claim = self._claim(customer, self._usages[customer], now)
        return self._report([claim])

    def accept(self, answer, sent_at):
        """Apply the loans of an answer to a report.

        Parameters
        ----------
        answer : ShareAnswer
            Answer of an owner.
        sent_at : float
            Monotonic time in seconds at which the report was sent. The
            lease starts then, so that it ends here before it ends at the
            owner, which counts from the receipt of the report.
        """
        for loan in answer.loans:
            usage = self._usages.get(loan.customer)
            if usage is not None and answer.number > usage.held:
                usage.held = answer.number
                usage.share = loan.share
                usage.lease_deadline = sent_at + LEASE_SECONDS

    def _claim(self, customer, usage, now):
        demand = self._demand(customer, now)
        return Claim(customer, demand, usage.held, usage.lent_share(now))

    def _report(self, claims):
        self._report_number += 1
        return ShareReport(self._host, self._report_number, claims)

    def _demand(self, customer, now):
        """Return the load since the last call as a multiple of the limit."""
        usage = self._usages[customer]
        work = self._latest_work[customer]
        elapsed = max(now - usage.offered_since, MIN_ELAPSED_SECONDS)
        demand = max(
            usage.offered_requests / elapsed / work.requests_per_second,
            usage.offered_tokens / elapsed / work.tokens_per_second,
            usage.streams / work.max_streams,
        )
        usage.offered_requests = 0
        usage.offered_tokens = 0
        usage.offered_since = now
        return min(demand, MAX_DEMAND)

    def _usage_of(self, customer, work, now):
        usage = self._usages.get(customer)
        if usage is None:
            usage = _CustomerUsage(work, self.share(customer, now), now)
            self._usages[customer] = usage
            if len(self._usages) > MAX_CUSTOMERS:
                dropped, _ = self._usages.popitem(last=False)
                self._latest_work.pop(dropped, None)
        self._latest_work[customer] = work
        return usage


def _exceeded(work, limit_name, wait_seconds):
    retry_after = min(
        max(wait_seconds, MIN_RETRY_AFTER_SECONDS), MAX_RETRY_AFTER_SECONDS
    )
    return LimitExceededError(
        f"customer {work.customer} is over its limit of {limit_name}",
        f"retry after {retry_after:.1f} s",
        retry_after,
    )
