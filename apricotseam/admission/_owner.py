"""Owner of customers' limits: lends shares to the hosts that ask."""

import collections

from apricotseam.admission._sharerules import LEASE_SECONDS
from apricotseam.admission._sharerules import lendable_share
from apricotseam.admission._sharerules import Loan
from apricotseam.admission._sharerules import MAX_KEYS
from apricotseam.admission._sharerules import Owners
from apricotseam.admission._sharerules import QUIET_SECONDS
from apricotseam.admission._sharerules import rendezvous_owner
from apricotseam.admission._sharerules import ShareAnswer

MIN_DEMAND = 0.001
SPARE_DEMAND = 0.02


class _Borrower:
    """What one host wants and may still hold of one customer's limit."""

    __slots__ = ("deadline", "demand", "loans")

    def __init__(self):
        self.demand = 0.0
        self.deadline = 0.0
        self.loans = []

    def outstanding(self, now):
        """Return the largest share that the host may still use."""
        self.loans = [loan for loan in self.loans if loan[1] > now]
        return max((share for _, _, share in self.loans), default=0.0)

    def drop_before(self, number):
        """Forget loans that the host has replaced."""
        self.loans = [loan for loan in self.loans if loan[0] >= number]


class ShareOwner:
    """Divides the limits of the customers that this host owns.

    What is lent and not yet lapsed is never more than may be lent. Until
    every loan of an earlier owner has lapsed, a new owner only renews
    what its borrowers still hold.

    Parameters
    ----------
    host : str
        Address of this host.
    now : float
        Monotonic time at which the process began.
    """

    __slots__ = (
        "_borrowers",
        "_earlier",
        "_fleet",
        "_host",
        "_owners",
        "_quiet_deadline",
    )

    def __init__(self, host, now):
        self._host = host
        self._owners = Owners()
        self._earlier = collections.deque(maxlen=64)
        self._fleet = 1
        self._quiet_deadline = now + QUIET_SECONDS
        self._borrowers = collections.OrderedDict()

    @property
    def owners(self):
        """Owner of each customer as this host sees it."""
        return self._owners

    def set_members(self, members, hosts, now):
        """Take the live hosts and the number of all hosts.

        Parameters
        ----------
        members : iterable of str
            Addresses of live hosts, with this one.
        hosts : int
            Hosts of the whole fleet, also those out of reach.
        now : float
            Monotonic time.
        """
        before = self._owners.members
        if self._owners.set_members(members) and before:
            if len(self._earlier) == self._earlier.maxlen:
                self._quiet_deadline = now + QUIET_SECONDS
            self._earlier.append((before, now + QUIET_SECONDS))
        self._fleet = max(hosts, len(self._owners.members), 1)

    def answer(self, report, now):
        """Return the `ShareAnswer` to a host's report."""
        loans = []
        for claim in report.claims:
            if self._owners.owner(claim.customer) == self._host:
                is_steady = self._is_steady(claim.customer, now)
                share = self._lend(claim, report, is_steady, now)
                loans.append(Loan(claim.customer, share))
        return ShareAnswer(report.number, loans)

    def lent(self, customer, now):
        """Return the share of a limit that is lent and has not lapsed."""
        borrowers = self._borrowers.get(customer, {})
        return sum(b.outstanding(now) for b in borrowers.values())

    def _is_steady(self, customer, now):
        """Return whether no other host was the owner lately."""
        while self._earlier and self._earlier[0][1] <= now:
            self._earlier.popleft()
        return now >= self._quiet_deadline and all(
            rendezvous_owner(customer, members) == self._host
            for members, _ in self._earlier
        )

    def _steady_members(self):
        """Return the least number of live hosts seen lately.

        Hosts that come back may still hold loans of their part's owner.
        """
        sizes = [len(members) for members, _ in self._earlier]
        return min([len(self._owners.members), *sizes])

    def _lend(self, claim, report, is_steady, now):
        borrowers = self._of(claim.customer)
        self._drop_lapsed(borrowers, now)
        own = borrowers.setdefault(report.host, _Borrower())
        own.drop_before(claim.held)
        own.demand = max(claim.demand, MIN_DEMAND)
        own.deadline = now + LEASE_SECONDS
        lendable = lendable_share(self._steady_members(), self._fleet)
        others = sum(
            borrower.outstanding(now)
            for name, borrower in borrowers.items()
            if name != report.host
        )
        wanted = claim.share
        if is_steady:
            wanted = _divide(lendable, borrowers, own)
        share = max(0.0, min(wanted, lendable - others))
        own.loans.append((report.number, now + LEASE_SECONDS, share))
        return share

    def _of(self, customer):
        borrowers = self._borrowers.setdefault(customer, {})
        self._borrowers.move_to_end(customer)
        if len(self._borrowers) > MAX_KEYS:
            _, dropped = self._borrowers.popitem(last=False)
            # What the dropped customer still has on loan is not known now.
            deadlines = [borrower.deadline for borrower in dropped.values()]
            self._quiet_deadline = max([self._quiet_deadline, *deadlines])
        return borrowers

    @staticmethod
    def _drop_lapsed(borrowers, now):
        gone = [name for name, b in borrowers.items() if b.deadline <= now]
        for name in gone:
            del borrowers[name]


def _divide(lendable, borrowers, own):
    """Return a host's part by demand; what is spare is split as well."""
    total = sum(b.demand + SPARE_DEMAND for b in borrowers.values())
    return lendable * (own.demand + SPARE_DEMAND) / total
