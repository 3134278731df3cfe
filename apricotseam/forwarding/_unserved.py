"""Refusal of calls that no target can take at present."""

import asyncio

from apricotseam.forwarding._answering import refuse_call

# Callers that are refused because of the same rest return at different
# times: within this time, and a fraction of what is left of the rest, after
# its end.
REST_SPREAD_SECONDS = 0.2
REST_SPREAD_FRACTION = 0.25
# Callers are told hundredths of a second; what is added must not be rounded
# away.
MIN_SPREAD_SECONDS = 0.01


def refuse_unserved(context, call, cause, retry_after):
    """Reject a call that no target has run; return the HTTP status.

    If the targets of its service rest and no other can serve it, the caller
    is told the end of the first rest that matters instead.

    Parameters
    ----------
    context : ForwardingContext
        State shared by all requests.
    call : Call
        The request.
    cause : str
        Why no target took it, unless it is a rest.
    retry_after : float
        Delay before a retry in that case, in seconds.
    """
    now = asyncio.get_running_loop().time()
    rest_ends_at = context.target_selector.rest_ends_at(call.service, now)
    if rest_ends_at is None:
        return refuse_call(context, call, cause, retry_after)
    delay = spread_delay(rest_ends_at - now, context.generator)
    return refuse_call(context, call, "targets rest", delay)


def spread_delay(seconds, generator):
    """Return a delay that is not shorter than a given one.

    Parameters
    ----------
    seconds : float
        The shortest delay.
    generator : random.Random
        Chooses what is added.

    Examples
    --------
    >>> import random
    >>> 2.0 <= spread_delay(2.0, random.Random(1)) <= 2.7
    True
    """
    spread = REST_SPREAD_SECONDS + REST_SPREAD_FRACTION * seconds
    return seconds + generator.uniform(MIN_SPREAD_SECONDS, spread)
