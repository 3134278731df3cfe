"""Which hosts read the platform's services on behalf of all."""

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
    alive = [
        member
        for member in table.all
        if member.health == Health.ALIVE and not member.is_leaving
    ]
    alive.sort(key=lambda member: ring_position(member.peers_address))
    zones = {}
    for member in alive:
        zones.setdefault(member.availability_zone, member)
    chosen = list(zones.values())
    others = [member for member in alive if member not in chosen]
    chosen.extend(others[: max(0, MIN_READERS - len(chosen))])
    return [member.peers_address for member in chosen]


def reader_rank(table):
    """Return the rank of this host among the readers, or None."""
    readers = choose_readers(table)
    if table.own_address in readers:
        return readers.index(table.own_address)
    return None if readers else 0
