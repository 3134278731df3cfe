"""Which hosts read the platform's services on behalf of all."""

import heapq

from apricotseam.membership._member import Health
from apricotseam.membership._ring import ring_position

MIN_READERS = 2


def choose_readers(table):
    """Return the peers' addresses of the readers, in order of rank.

    One host of each availability zone reads, and at least two hosts in
    all, so calls grow with availability zones and not with hosts. Every
    host computes this from its own view: where views differ, a few more
    hosts read for a while.

    Parameters
    ----------
    table : MemberTable
        The members as this host knows them.

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
        everyone = (pair for zone in zones.values() for pair in zone)
        chosen = heapq.nsmallest(MIN_READERS, everyone)
    return [address for _, address in sorted(chosen)]


def reader_rank(table):
    """Return the rank of this host among the readers, or None."""
    readers = choose_readers(table)
    if table.own_address in readers:
        return readers.index(table.own_address)
    return None if readers else 0
