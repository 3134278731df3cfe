"""Describes callers' requests to admission control."""

import math

from apricotseam.admission import Work
from apricotseam.errors import ForbiddenError
from apricotseam.errors import InvalidRequestError
from apricotseam.errors import unknown_name
from apricotseam.errors import UnknownNameError

PRIORITY_HEADER = "Apricotseam-Priority"
DEADLINE_HEADER = "Apricotseam-Deadline"


def build_work(
    request, caller, clock, identifier, pool, default_priority, max_tokens
):
    """Return the `Work` record of a request for admission control.

    In headers, the caller may ask for another priority class of its scope
    and an earlier deadline (wall-clock seconds).

    Parameters
    ----------
    request : Request
        The HTTP request.
    caller : Caller
        The authenticated customer.
    clock : Clock
        Source of time.
    identifier : str
        Identifier of the request.
    pool : str
        Group of targets that the request needs.
    default_priority : str
        Priority class that the scope file declares for the request.
    max_tokens : int
        Upper bound on the tokens that the request may use.

    Returns
    -------
    Work
        Its ``deadline``, a monotonic time in seconds, is the current time
        plus the priority class's limit for the first token, or the caller's
        deadline if that is earlier.

    Raises
    ------
    InvalidRequestError
        If the deadline is not a number.
    UnknownNameError
        If the priority class is not declared.
    ForbiddenError
        If the caller may not ask for that priority class.
    """
    priority = _select_priority(request, caller, default_priority)
    if request.record is not None:
        request.record.identifier = identifier
        request.record.priority = priority.name
        request.record.pool = pool
    seconds = priority.first_token_milliseconds / 1000
    deadline_text = request.header(DEADLINE_HEADER)
    if deadline_text is not None:
        seconds = min(seconds, _parse_deadline(deadline_text) - clock.wall())
    return Work(
        request=identifier,
        scope=caller.scope_file.scope,
        customer=caller.customer.name,
        customer_weight=caller.customer.weight,
        pool=pool,
        priority=priority.name,
        rank=priority.rank,
        weight=priority.weight,
        deadline=clock.monotonic() + seconds,
        tokens=max_tokens,
        size_bytes=_content_length(request.header("Content-Length")),
        requests_per_second=caller.customer.requests_per_second,
        tokens_per_second=caller.customer.tokens_per_second,
        max_streams=caller.customer.max_streams,
    )


def _select_priority(request, caller, default):
    """Return the priority class of a request.

    A caller may ask for a class that is not more urgent than the default
    one, or for one that the scope file allows its customer. A lower rank is
    more urgent.
    """
    default_class = _find_priority(caller, default)
    name = request.header(PRIORITY_HEADER)
    if not name:
        return default_class
    requested_class = _find_priority(caller, name)
    if (
        requested_class.rank < default_class.rank
        and name not in caller.customer.priorities
    ):
        raise ForbiddenError(
            f"priority {name!r} is more urgent than {default!r}",
            "leave the header out, or ask your operator to allow it",
        )
    return requested_class


def _find_priority(caller, name):
    for priority in caller.scope_file.priorities:
        if priority.name == name:
            return priority
    known = [priority.name for priority in caller.scope_file.priorities]
    raise UnknownNameError(
        unknown_name("priority", name, known), "leave the header out"
    )


def _content_length(text):
    """Return the declared body size in bytes, 0 if absent or malformed.

    A malformed length is rejected later, when the body is read.
    """
    return int(text) if text and text.isdigit() else 0


def _parse_deadline(text):
    try:
        deadline_seconds = float(text)
    except ValueError:
        deadline_seconds = math.nan
    if math.isfinite(deadline_seconds):
        return deadline_seconds
    raise InvalidRequestError(
        f"deadline {text[:40]!r} is not a number",
        "send wall-clock seconds since 1970 (Unix time)",
    )
