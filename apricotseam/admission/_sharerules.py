"""Constants, messages and rules for limits that hosts share.

Every host may always use its floor, an equal part of `FLOOR_SHARE` of each
limit. The rest is lent for short leases by the customer's owner, a live
host chosen by rendezvous hashing.
"""

import msgspec

# Fraction of each limit that is divided equally between all hosts.
FLOOR_SHARE = 0.2
LEASE_SECONDS = 3.0
# Longest time between two hosts' detection of the same membership change.
DETECTION_SKEW_SECONDS = 2.0
# Time after which all loans of a previous owner have lapsed.
HANDOVER_SECONDS = LEASE_SECONDS + DETECTION_SKEW_SECONDS
# Time after its start during which a host may use an equal part of the
# whole limit; see `floor_share`.
STARTUP_SECONDS = HANDOVER_SECONDS + 1.0
# Maximum number of customers that a host stores.
MAX_CUSTOMERS = 20_000


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """A host's demand for one customer's limit, as a fraction of it.

    ``held`` is the number of the report whose loan the host uses at
    present; the owner can drop earlier loans. ``share`` is the size of that
    loan, which a new owner may renew.
    """

    customer: str
    demand: float
    held: int
    share: float


class ShareReport(msgspec.Struct, frozen=True, array_like=True):
    """A host's claims to one owner; ``number`` grows with each report."""

    host: str
    number: int
    claims: list[Claim]


class Loan(msgspec.Struct, frozen=True, array_like=True):
    """A share of one customer's limit, lent until the lease ends."""

    customer: str
    share: float


class ShareAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Loans that answer the claims of the report with the same number."""

    number: int
    loans: list[Loan]


def floor_share(hosts, is_starting=False):
    """Return the share of each limit that a host may always use.

    A host that has just started may use an equal part of the whole limit,
    because owners in a fleet that has just started may not lend yet.

    Parameters
    ----------
    hosts : int
        Number of hosts in the fleet.
    is_starting : bool
        Whether the host started less than `STARTUP_SECONDS` ago.

    Examples
    --------
    >>> floor_share(1), floor_share(8), floor_share(8, is_starting=True)
    (1.0, 0.025, 0.125)
    """
    if hosts <= 1 or is_starting:
        return 1.0 / max(1, hosts)
    return FLOOR_SHARE / hosts


def lendable_share(members, hosts):
    """Return the total share of a limit that an owner may lend.

    It is proportional to the part of the fleet that the owner can reach,
    so that the owners on both sides of a network partition together never
    lend more than the limit.

    Parameters
    ----------
    members : int
        Number of live hosts that the owner knows.
    hosts : int
        Number of hosts in the fleet.

    Examples
    --------
    >>> lendable_share(4, 8)
    0.4
    """
    if hosts <= 1:
        return 0.0
    return (1.0 - FLOOR_SHARE) * min(1.0, members / hosts)
