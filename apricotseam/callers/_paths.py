"""Validation of paths and identifiers that are forwarded to targets."""

import re

from apricotseam.errors import InvalidRequestError

_AMBIGUOUS_CHARACTERS = re.compile(r"[\x00-\x1f\x7f\\%]")
_IDENTIFIER = re.compile(r"[A-Za-z0-9._:-]{1,128}\Z")


def validate_path(path):
    """Return a path if every server interprets it in the same way.

    Declared calls are matched by path. A path with empty, dot or encoded
    segments could match one call here and be normalized to another one by
    the target.

    Parameters
    ----------
    path : str
        Path, percent-decoded once.

    Returns
    -------
    str
        The path as given.

    Raises
    ------
    InvalidRequestError
        If the path is ambiguous.

    Examples
    --------
    >>> validate_path("/books/7")
    '/books/7'
    """
    segments = path.split("/")[1:]
    inner_segments = segments[:-1] if segments[-1] == "" else segments
    if _AMBIGUOUS_CHARACTERS.search(path) or any(
        segment in ("", ".", "..") for segment in inner_segments
    ):
        raise InvalidRequestError(
            f"path {path[:100]!r} is ambiguous",
            "send a path without empty, dot or encoded segments",
        )
    return path


def is_path_under(path, declared):
    """Return whether a path equals the declared path or lies under it.

    Examples
    --------
    >>> is_path_under("/slots/7", "/slots"), is_path_under("/slots7", "/slots")
    (True, False)
    """
    base = declared.rstrip("/")
    return path.rstrip("/") == base or path.startswith(base + "/")


def read_request_identifier(request):
    """Return the caller's request identifier, or None.

    Raises
    ------
    InvalidRequestError
        If it is too long or has characters that are not allowed.
    """
    value = request.header("X-Request-Id")
    if value is None or _IDENTIFIER.match(value):
        return value
    raise InvalidRequestError(
        "the header X-Request-Id is too long or has invalid characters",
        "send up to 128 letters, digits, and any of `._:-`",
    )
