"""Errors of forwarding that are handled within the package."""

from apricotseam.errors import ApricotseamError


class OutdatedChoiceError(ApricotseamError):
    """The chosen targets changed before the request was sent to them."""

    code = "choice_outdated"
