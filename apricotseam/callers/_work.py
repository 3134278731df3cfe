"""Turns a caller's request into the work that admission sees."""

from apricotseam.admission import Work
from apricotseam.errors import InvalidRequestError
from apricotseam.errors import UnknownNameError

PRIORITY_HEADER = "Apricotseam-Priority"
DEADLINE_HEADER = "Apricotseam-Deadline"


def describe_work(request, caller, clock, identifier, pool, priority, tokens):
    """Return the `Work` of a request.

    The caller may name another priority class of its scope and an earlier
    deadline (wall-clock seconds) in headers.

    Parameters
    ----------
    request : Request
        The HTTP request.
    caller : Caller
        Its authenticated customer.
    clock : Clock
        Source of time.
    identifier : str
        Identifier of the request.
    pool : str
        Group of targets that it needs.
    priority : str
        Class that the operators' file gives it.
    tokens : int
        Bound on the tokens it may use.

    Returns
    -------
    Work

    Raises
    ------
    InvalidRequestError
        If the deadline is no number.
    UnknownNameError
        If the priority class is not declared.
    """
    name = request.header(PRIORITY_HEADER) or priority
    declared = _priority(caller, name)
    seconds = declared.first_token_milliseconds / 1000
    stated = request.header(DEADLINE_HEADER)
    if stated is not None:
        seconds = min(seconds, _number(stated) - clock.wall())
    return Work(
        request=identifier,
        scope=caller.scope_file.scope,
        customer=caller.customer.name,
        customer_weight=caller.customer.weight,
        pool=pool,
        priority=declared.name,
        rank=declared.rank,
        weight=declared.weight,
        deadline=clock.monotonic() + seconds,
        tokens=tokens,
        size_bytes=_size(request.header("Content-Length")),
        requests_per_second=caller.customer.requests_per_second,
        tokens_per_second=caller.customer.tokens_per_second,
        max_streams=caller.customer.max_streams,
    )


def _priority(caller, name):
    for declared in caller.scope_file.priorities:
        if declared.name == name:
            return declared
    raise UnknownNameError(
        f"unknown priority {name!r}", "leave the header out"
    )


def _size(text):
    """Return the stated size; the body's reader refuses a wrong one."""
    return int(text) if text and text.isdigit() else 0


def _number(text):
    try:
        return float(text)
    except ValueError:
        raise InvalidRequestError(
            f"deadline {text!r} is no number",
            "send wall-clock seconds since 1970",
        ) from None
