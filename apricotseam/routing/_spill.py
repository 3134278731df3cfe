"""How much work may go to other availability zones: what is free there."""

SPILL_SHARE = 0.9
SPILL_UTILISATION = 0.8


def may_leave_zone(used):
    """Return whether the own zone is full enough to use others.

    Parameters
    ----------
    used : float
        Utilisation of the own zone, 1 when every batch is full.
    """
    return used >= SPILL_UTILISATION


def spill_allowance(capacity, reported, hosts):
    """Return how many streams a host may add in another zone.

    What was free in the zone when it reported is split between all entry
    hosts. Each counts only what it sent since that report, so that all
    together never send more than was free.

    Parameters
    ----------
    capacity : float
        Streams that the zone can run.
    reported : float
        Streams that it reported.
    hosts : int
        Live entry hosts.

    Examples
    --------
    >>> spill_allowance(100, 50, 5)
    8.0
    >>> spill_allowance(100, 120, 5)
    0.0
    """
    free = max(0.0, capacity * SPILL_SHARE - reported)
    return free / max(1, hosts)
