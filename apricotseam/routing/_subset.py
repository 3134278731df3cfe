"""Bounded subset of a pool that one host routes to."""

import hashlib
import heapq

SUBSET_SIZE = 16
OTHER_ZONES_SIZE = 6


def rendezvous_score(owner, name):
    """Return a stable pseudo-random score of a pair of names.

    Examples
    --------
    >>> rendezvous_score("a", "b") == rendezvous_score("a", "b")
    True
    """
    digest = hashlib.blake2b(
        f"{owner}\n{name}".encode(), digest_size=8
    ).digest()
    return int.from_bytes(digest, "big")


def home_target(targets, prefix):
    """Return the target that all hosts prefer for a prefix.

    Hosts learn of each other's work late; that they agree on a first
    target brings requests with one prefix together before that.

    Parameters
    ----------
    targets : list of TargetState
        Targets that do the same work.
    prefix : str
        Digest of the prefix.
    """
    return max(targets, key=lambda t: rendezvous_score(prefix, t.address))


def choose_subset(targets, host, zone, size=SUBSET_SIZE):
    """Return the targets that a host routes to.

    Targets are ranked by rendezvous hashing with the host's name, so that
    one that comes or goes changes few subsets. Most are of the host's own
    availability zone, a third of others, for spill.

    Parameters
    ----------
    targets : list of TargetState
        Targets of one pool that do the same work.
    host : str
        Name of this host.
    zone : str
        Its availability zone.
    size : int
        Bound on the subset.

    Returns
    -------
    list of TargetState
    """
    if len(targets) <= size:
        return list(targets)
    near = [t for t in targets if t.availability_zone == zone]
    far = [t for t in targets if t.availability_zone != zone]
    far_size = max(min(OTHER_ZONES_SIZE, len(far)), size - len(near))
    return _best(near, host, size - far_size) + _best(far, host, far_size)


def _best(targets, host, size):
    return heapq.nlargest(
        size, targets, key=lambda t: rendezvous_score(host, t.address)
    )
