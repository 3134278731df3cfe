"""Checks of what callers send on to targets: paths and identifiers."""

import re

from apricotseam.errors import InvalidRequestError

_ODD = re.compile(r"[\x00-\x1f\x7f\\%]")
_IDENTIFIER = re.compile(r"[A-Za-z0-9._:-]{1,128}\Z")


def checked_path(path):
    """Return a path that means the same to every server.

    A declared call is matched by its path. A path with empty or dot
    segments could match one call here and be another at the target.

    Parameters
    ----------
    path : str
        Path with its percent-encoding decoded once.

    Raises
    ------
    InvalidRequestError
        If the path is ambiguous.

    Examples
    --------
    >>> checked_path("/books/7")
    '/books/7'
    """
    segments = path.split("/")[1:]
    inner = segments[:-1] if segments[-1] == "" else segments
    if _ODD.search(path) or any(part in ("", ".", "..") for part in inner):
        raise InvalidRequestError(
            f"path {path[:100]!r} is ambiguous",
            "send a path without empty, dot or encoded parts",
        )
    return path


def is_below(path, declared):
    """Return whether a path is the declared one or lies below it.

    Examples
    --------
    >>> is_below("/slots/7", "/slots"), is_below("/slots7", "/slots")
    (True, False)
    """
    base = declared.rstrip("/")
    return path.rstrip("/") == base or path.startswith(base + "/")


def checked_identifier(request):
    """Return the caller's request identifier, or None.

    Raises
    ------
    InvalidRequestError
        If it is too long or has odd characters.
    """
    value = request.header("X-Request-Id")
    if value is None or _IDENTIFIER.match(value):
        return value
    raise InvalidRequestError(
        "the header X-Request-Id has odd characters or is too long",
        "send up to 128 letters, digits, and any of `._:-`",
    )
