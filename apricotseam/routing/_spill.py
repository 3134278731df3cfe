"""Bounds on the work that spills over to other availability zones."""

# Utilisation up to which work may spill into another zone.
SPILL_SHARE = 0.9
# Utilisation of a host's own zone from which work may spill out of it.
SPILL_UTILISATION = 0.8


def may_spill(used):
    """Return whether this host's zone is full enough to use others.

    Parameters
    ----------
    used : float
        Utilisation of this host's zone, 1 when every batch is full.
    """
    return used >= SPILL_UTILISATION


def spill_allowance(capacity, reported, hosts):
    """Return how many streams a host may add in another zone.

    The capacity that was free at the time of the zone's reports is divided
    equally among all entry hosts. Each host counts only what it has sent
    since those reports, so that all hosts together never send more than
    was free.

    Parameters
    ----------
    capacity : float
        Streams that the zone can run.
    reported : float
        Streams that its targets reported.
    hosts : int
        Number of live entry hosts.

    Examples
    --------
    >>> spill_allowance(100, 50, 5)
    8.0
    >>> spill_allowance(100, 120, 5)
    0.0
    """
    free = max(0.0, capacity * SPILL_SHARE - reported)
    return free / max(1, hosts)
