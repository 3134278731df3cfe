"""Traits: what requests have in common that may end a target's process."""

import msgspec

PART_PREFIX = "part/"
REQUEST_PREFIX = "request/"


class HoldRule(msgspec.Struct, frozen=True, kw_only=True):
    """Evidence from which on requests with a trait are held back.

    ``min_ends`` is the number of separate ends, ``min_ends_common`` the same
    for a trait that requests without harm had shortly before.
    ``min_requests`` is the number of different requests among them: the
    other traits of a request and its repeats are in the same ends. From
    ``final_ends`` on no trial is made; before, one request is tried after
    ``trial_wait_seconds`` without a further end. ``counts_joint`` is whether
    joint ends count one by one where most of the processes that ended had
    the trait.
    """

    min_ends: int
    min_ends_common: int
    min_requests: int
    final_ends: int
    trial_wait_seconds: float
    counts_joint: bool


PART_RULE = HoldRule(
    min_ends=3,
    min_ends_common=5,
    min_requests=2,
    final_ends=5,
    trial_wait_seconds=10.0,
    counts_joint=True,
)
# Some ends may have met one request by chance, so it is soon tried.
REQUEST_RULE = HoldRule(
    min_ends=3,
    min_ends_common=4,
    min_requests=1,
    final_ends=4,
    trial_wait_seconds=2.0,
    counts_joint=False,
)


def part_trait(part):
    """Return the trait of requests whose prompt has a part.

    Parameters
    ----------
    part : str
        Hash of the part.

    Examples
    --------
    >>> part_trait("5c1e07a2")
    'part/5c1e07a2'
    """
    return PART_PREFIX + part


def request_trait(digest):
    """Return the trait of a request and its repeats.

    Parameters
    ----------
    digest : str
        Hash of what they have in common.
    """
    return REQUEST_PREFIX + digest


def hold_rule(trait):
    """Return the `HoldRule` of a trait."""
    return REQUEST_RULE if trait.startswith(REQUEST_PREFIX) else PART_RULE
