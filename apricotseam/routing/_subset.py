"""Choice of the bounded subset of a pool that a host routes to."""

import heapq

from apricotseam.membership import rendezvous_score

SUBSET_SIZE = 16
# Minimum number of targets from other zones, if there are as many.
OTHER_ZONES_SIZE = 6


def affinity_target(targets, prefix):
    """Return the target that all hosts prefer for a prefix.

    A host learns only with delay which prefixes other hosts have sent to
    which target. Since all hosts agree on a target, requests with the same
    prefix reach the same cache even before that.

    Parameters
    ----------
    targets : list of TargetState
        Interchangeable targets.
    prefix : str
        Digest of the prefix.
    """
    return max(targets, key=lambda t: rendezvous_score(prefix, t.address))


def choose_subset(targets, host, zone, size=SUBSET_SIZE):
    """Return the targets that a host routes to.

    Targets are ranked by rendezvous hashing with the host's name, so that
    adding or removing a target changes few subsets. Most of the subset is
    in the host's own availability zone. About a third is in other zones,
    for work that spills over.

    Parameters
    ----------
    targets : list of TargetState
        Interchangeable targets of one pool.
    host : str
        Name of this host.
    zone : str
        Its availability zone.
    size : int
        Maximum size of the subset.

    Returns
    -------
    list of TargetState
    """
    if len(targets) <= size:
        return list(targets)
    same_zone = [t for t in targets if t.availability_zone == zone]
    other_zones = [t for t in targets if t.availability_zone != zone]
    other_zones_size = max(
        min(OTHER_ZONES_SIZE, len(other_zones)), size - len(same_zone)
    )
    return _top_ranked(same_zone, host, size - other_zones_size) + _top_ranked(
        other_zones, host, other_zones_size
    )


def _top_ranked(targets, host, size):
    return heapq.nlargest(
        size, targets, key=lambda t: rendezvous_score(host, t.address)
    )
