"""Owner of customers' limits, which lends shares of them to hosts."""

import collections

from apricotseam.admission._sharerules import HANDOVER_SECONDS
from apricotseam.admission._sharerules import LEASE_SECONDS
from apricotseam.admission._sharerules import lendable_share
from apricotseam.admission._sharerules import Loan
from apricotseam.admission._sharerules import MAX_CUSTOMERS
from apricotseam.admission._sharerules import ShareAnswer
from apricotseam.membership import Ownership

# Fractions of a customer's limit.
# Lower bound of the demand of a borrower.
MIN_DEMAND_SHARE = 0.001
# Added to the demand of each borrower, so that idle ones get a share too.
SPARE_DEMAND_SHARE = 0.02


class _Borrower:
    """Demand and outstanding loans of one host for one customer.

    ``demand`` is a fraction of the customer's limit. Each loan is a tuple
    of the number of the report that it answers, the monotonic time in
    seconds at which it lapses, and its share of the limit.
    """

    __slots__ = ("deadline", "demand", "loans")

    def __init__(self):
        self.demand = 0.0
        self.deadline = 0.0
        self.loans = []

    def outstanding(self, now):
        """Drop lapsed loans; return the largest share still on loan."""
        self.loans = [loan for loan in self.loans if loan[1] > now]
        return max((share for _, _, share in self.loans), default=0.0)

    def drop_loans_before(self, number):
        """Drop loans that answered reports older than report `number`."""
        self.loans = [loan for loan in self.loans if loan[0] >= number]


class ShareOwner:
    """Lends shares of the limits of the customers that this host owns.

    The outstanding loans of a customer never exceed its lendable share. A
    new owner does not know the loans of the previous one, so until all of
    those have lapsed it only renews what borrowers say they hold.

    Parameters
    ----------
    host : str
        Address of this host.
    now : float
        Monotonic time in seconds at which the process started.
    """

    __slots__ = ("_borrowers", "_ownership")

    def __init__(self, host, now):
        self._ownership = Ownership(host, HANDOVER_SECONDS, now)
        self._borrowers = collections.OrderedDict()

    @property
    def owners(self):
        """Owner of each customer according to this host's member list."""
        return self._ownership.owners

    def set_members(self, members, hosts, now):
        """Update the live hosts; see `Ownership.set_members`."""
        self._ownership.set_members(members, hosts, now)

    def answer(self, report, now):
        """Return the `ShareAnswer` to a host's report."""
        loans = []
        for claim in report.claims:
            if self._ownership.is_owner(claim.customer):
                is_sole_owner = self._ownership.is_sole_owner(
                    claim.customer, now
                )
                share = self._lend(claim, report, is_sole_owner, now)
                loans.append(Loan(claim.customer, share))
        return ShareAnswer(report.number, loans)

    def lent(self, customer, now):
        """Return the total share of a customer's limit that is on loan."""
        borrowers = self._borrowers.get(customer, {})
        return sum(b.outstanding(now) for b in borrowers.values())

    def _lend(self, claim, report, is_sole_owner, now):
        borrowers = self._borrowers_of(claim.customer)
        self._drop_lapsed(borrowers, now)
        own = borrowers.setdefault(report.host, _Borrower())
        own.drop_loans_before(claim.held)
        own.demand = max(claim.demand, MIN_DEMAND_SHARE)
        own.deadline = now + LEASE_SECONDS
        lendable = lendable_share(
            self._ownership.min_recent_members, self._ownership.host_count
        )
        others = sum(
            borrower.outstanding(now)
            for name, borrower in borrowers.items()
            if name != report.host
        )
        requested = claim.share
        if is_sole_owner:
            requested = _share_by_demand(lendable, borrowers, own)
        share = max(0.0, min(requested, lendable - others))
        own.loans.append((report.number, now + LEASE_SECONDS, share))
        return share

    def _borrowers_of(self, customer):
        borrowers = self._borrowers.setdefault(customer, {})
        self._borrowers.move_to_end(customer)
        if len(self._borrowers) > MAX_CUSTOMERS:
            _, dropped = self._borrowers.popitem(last=False)
            # The outstanding loans of the dropped customer are now unknown.
            deadlines = [borrower.deadline for borrower in dropped.values()]
            for deadline in deadlines:
                self._ownership.postpone(deadline)
        return borrowers

    @staticmethod
    def _drop_lapsed(borrowers, now):
        lapsed = [name for name, b in borrowers.items() if b.deadline <= now]
        for name in lapsed:
            del borrowers[name]


def _share_by_demand(lendable, borrowers, own):
    """Return the share of one host, in proportion to its demand.

    The whole lendable share is divided, even if the total demand is lower.
    """
    total = sum(b.demand + SPARE_DEMAND_SHARE for b in borrowers.values())
    return lendable * (own.demand + SPARE_DEMAND_SHARE) / total
