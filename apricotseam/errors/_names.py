"""Messages about unknown names, with suggestions."""

import difflib

# Minimum `difflib` similarity ratio, from 0 to 1, of a suggested name.
MIN_SIMILARITY = 0.4


def unknown_name(kind, name, known):
    """Return a message about an unknown name, with the closest known one.

    Parameters
    ----------
    kind : str
        Kind of the object that the name should refer to.
    name : str
        The unknown name; its first 100 characters are shown.
    known : iterable of str
        The known names.

    Returns
    -------
    str

    Examples
    --------
    >>> unknown_name("command", "stauts", ["status", "audit"])
    "unknown command 'stauts', nearest known is 'status'"
    >>> unknown_name("command", "xyz", ["status"])
    "unknown command 'xyz'"
    """
    closest = difflib.get_close_matches(name, list(known), 1, MIN_SIMILARITY)
    hint = f", nearest known is {closest[0]!r}" if closest else ""
    return f"unknown {kind} {name[:100]!r}{hint}"
