"""Traits: what requests have in common that may end a target's process."""

PART_PREFIX = "part/"


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
