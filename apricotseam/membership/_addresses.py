"""Ordering of the host addresses that are returned to a caller."""

MAX_ADDRESSES = 8
MAX_OWN_ZONE_ADDRESSES = 5


def order_addresses(members, zone, generator):
    """Return the hosts' addresses for callers, in the order to try them.

    Members of the caller's availability zone come first. Within a zone
    the order is random, weighted against members with many requests in
    progress, so that callers are balanced over the hosts. Members that
    have no configuration yet are left out if any member has one.

    Parameters
    ----------
    members : list of Member
        Members that accept new requests.
    zone : str
        Availability zone of the caller.
    generator : random.Random
        Source of random numbers.

    Returns
    -------
    list of str
        At most `MAX_ADDRESSES` addresses. If there are members in other
        zones, at most `MAX_OWN_ZONE_ADDRESSES` are of the caller's zone,
        so that the caller can fail over to another zone.

    Examples
    --------
    >>> import random
    >>> order_addresses([], "a", random.Random(1))
    []
    """
    configured = [m for m in members if m.revision > 0] or members
    ordered = sorted(
        configured,
        key=lambda m: generator.expovariate(1.0) * (1 + m.load),
    )
    same_zone = [m for m in ordered if m.availability_zone == zone]
    other_zones = [m for m in ordered if m.availability_zone != zone]
    if other_zones:
        same_zone = same_zone[:MAX_OWN_ZONE_ADDRESSES]
    chosen = [*same_zone, *other_zones][:MAX_ADDRESSES]
    return [member.callers_address for member in chosen]
