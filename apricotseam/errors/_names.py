"""Proposals for names that are not known."""

import difflib

# Names less alike than this are not proposed, from 0 to 1.
MIN_LIKENESS = 0.4


def unknown_name(kind, name, known):
    """Return what was found, with the nearest known name if there is one.

    Parameters
    ----------
    kind : str
        What the name should stand for.
    name : str
        The name that is not known.
    known : iterable of str
        Names that are.

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
    near = difflib.get_close_matches(name, list(known), 1, MIN_LIKENESS)
    hint = f", nearest known is {near[0]!r}" if near else ""
    return f"unknown {kind} {name[:100]!r}{hint}"
