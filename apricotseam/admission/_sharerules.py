"""Figures and messages of the limits that hosts share.

A host always has its floor, an equal part of a small share of each limit.
The rest is lent by the customer's owner, a host chosen by rendezvous
hashing over the live ones, for a short lease.
"""

import collections

import msgspec

from apricotseam.routing import rendezvous_score

FLOOR_SHARE = 0.2
LEASE_SECONDS = 3.0
DETECTION_SKEW_SECONDS = 2.0
QUIET_SECONDS = LEASE_SECONDS + DETECTION_SKEW_SECONDS
YOUNG_SECONDS = QUIET_SECONDS + 1.0
MAX_KEYS = 20_000


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """What a host wants of one customer's limit, as a share of it.

    ``held`` is the number of the report whose loan the host uses now, so
    that the owner can forget what it lent before; ``share`` is that loan,
    which a new owner may renew.
    """

    customer: str
    demand: float
    held: int
    share: float


class ShareReport(msgspec.Struct, frozen=True, array_like=True):
    """A host's claims at one owner; ``number`` rises with each report."""

    host: str
    number: int
    claims: list[Claim]


class Loan(msgspec.Struct, frozen=True, array_like=True):
    """A share of one customer's limit, lent until the lease ends."""

    customer: str
    share: float


class ShareAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Loans for the claims of the report with that number."""

    number: int
    loans: list[Loan]


def floor_share(hosts, is_young=False):
    """Return the share of each limit that a host always has.

    A host that has just started has an equal part of the whole, since no
    owner may lend to a fleet that has just started.

    Examples
    --------
    >>> floor_share(1), floor_share(8), floor_share(8, is_young=True)
    (1.0, 0.025, 0.125)
    """
    if hosts <= 1 or is_young:
        return 1.0 / max(1, hosts)
    return FLOOR_SHARE / hosts


def lendable_share(members, hosts):
    """Return the share that an owner may lend in all.

    It shrinks with the part of the fleet that the owner sees, so that
    the owners of two parts together never lend more than there is.

    Examples
    --------
    >>> lendable_share(4, 8)
    0.4
    """
    if hosts <= 1:
        return 0.0
    return (1.0 - FLOOR_SHARE) * min(1.0, members / hosts)


class Owners:
    """Owner of each customer among the live hosts, kept up to date.

    When members change, only the customers that the change moves are
    hashed again over all members.
    """

    __slots__ = ("_known", "_members")

    def __init__(self):
        self._members = frozenset()
        self._known = collections.OrderedDict()

    @property
    def members(self):
        """Addresses of the live hosts."""
        return self._members

    def set_members(self, members):
        """Take the live hosts; return whether they changed."""
        members = frozenset(members)
        if members == self._members:
            return False
        added = members - self._members
        removed = self._members - members
        self._members = members
        for customer, (score, owner) in list(self._known.items()):
            if owner in removed:
                del self._known[customer]
                continue
            best = max([(score, owner), *_scores(customer, added)])
            self._known[customer] = best
        return True

    def owner(self, customer):
        """Return the address of the customer's owner, or None."""
        if not self._members:
            return None
        known = self._known.get(customer)
        if known is None:
            known = max(_scores(customer, self._members))
            self._known[customer] = known
            if len(self._known) > MAX_KEYS:
                self._known.popitem(last=False)
        return known[1]


def rendezvous_owner(customer, members):
    """Return the owner of a customer among given members."""
    return max(_scores(customer, members))[1]


def _scores(customer, members):
    return [(rendezvous_score(m, customer), m) for m in members]
