"""Turns a caller's request into the work that admission sees."""

import math

from apricotseam.admission import Work
from apricotseam.errors import ForbiddenError
from apricotseam.errors import InvalidRequestError
from apricotseam.errors import unknown_name
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
    ForbiddenError
        If the caller may not ask for that class.
    """
    declared = _priority(request, caller, priority)
    if request.record is not None:
        request.record.identifier = identifier
        request.record.priority = declared.name
        request.record.pool = pool
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


def _priority(request, caller, default):
    """Return the class of a request.

    A caller may ask for a class that is no more urgent than the declared
    one, or for one that its customer is allowed.
    """
    usual = _find_priority(caller, default)
    name = request.header(PRIORITY_HEADER)
    if not name:
        return usual
    wanted = _find_priority(caller, name)
    if wanted.rank < usual.rank and name not in caller.customer.priorities:
        raise ForbiddenError(
            f"priority {name!r} is more urgent than {default!r}",
            "leave the header out, or ask your operator to allow it",
        )
    return wanted


def _find_priority(caller, name):
    for declared in caller.scope_file.priorities:
        if declared.name == name:
            return declared
    known = [declared.name for declared in caller.scope_file.priorities]
    raise UnknownNameError(
        unknown_name("priority", name, known), "leave the header out"
    )


def _size(text):
    """Return the stated size; the body's reader refuses a wrong one."""
    return int(text) if text and text.isdigit() else 0


def _number(text):
    try:
        number = float(text)
    except ValueError:
        number = math.nan
    if math.isfinite(number):
        return number
    raise InvalidRequestError(
        f"deadline {text[:40]!r} is no number",
        "send wall-clock seconds since 1970",
    )
