"""Choice of the hosts that poll the platform's services for all hosts.

These hosts, the readers, read the configuration and the host list and
replicate them to the others.
"""

import heapq

from apricotseam.membership._member import Health
from apricotseam.membership._ring import ring_position

MIN_READERS = 2


def choose_readers(table):
    """Return the peer addresses of the readers, in order of rank.

    One host of each availability zone is a reader, and at least two hosts
    in total, so that the number of calls grows with the number of zones
    and not of hosts. Every host computes this from its own member table;
    while the tables differ, more hosts than necessary may read.

    Parameters
    ----------
    table : MemberTable
        Members known to this host.

    Returns
    -------
    list of str
    """
    zones = {}
    for member in table.all:
        if member.health != Health.ALIVE or member.is_leaving:
            continue
        address = member.peers_address
        zone = zones.setdefault(member.availability_zone, [])
        zone.append((ring_position(address), address))
    chosen = [min(zone) for zone in zones.values()]
    if len(chosen) < MIN_READERS:
        candidates = (pair for zone in zones.values() for pair in zone)
        chosen = heapq.nsmallest(MIN_READERS, candidates)
    return [address for _, address in sorted(chosen)]


def reader_rank(table):
    """Return the rank of this host among the readers, or None.

    The rank is 0 if the table has no reader at all.
    """
    readers = choose_readers(table)
    if table.own_address in readers:
        return readers.index(table.own_address)
    return None if readers else 0
