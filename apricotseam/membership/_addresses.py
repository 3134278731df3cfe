"""Order of the entry hosts' addresses in an answer to a caller."""

MAX_ADDRESSES = 8
MAX_OWN_ZONE_ADDRESSES = 5


def order_addresses(members, zone, generator):
    """Return callers' addresses in the order to try them.

    Members of the own availability zone come first. Within a zone the
    order is random, and a member with more requests in progress is less
    likely to come early, so that callers spread over hosts.

    Parameters
    ----------
    members : list of Member
        Members that may get new work.
    zone : str
        Availability zone of the caller.
    generator : random.Random
        Source of random numbers.

    Returns
    -------
    list of str

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
    near = [m for m in ordered if m.availability_zone == zone]
    far = [m for m in ordered if m.availability_zone != zone]
    if far:
        near = near[:MAX_OWN_ZONE_ADDRESSES]
    chosen = [*near, *far][:MAX_ADDRESSES]
    return [member.callers_address for member in chosen]
