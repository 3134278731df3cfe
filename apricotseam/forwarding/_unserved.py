"""Refusal of calls that no target can take at present."""

import asyncio
import logging

from apricotseam.forwarding._answering import decline
from apricotseam.forwarding._answering import refuse_call

_LOG = logging.getLogger(__name__)

# A host that has lost its links looks for them twice in this time.
CUT_OFF_RETRY_SECONDS = 1.0
# Callers that are refused because of the same rest or limit return at
# different times: within this time, and a fraction of the wait, after its end.
SPREAD_SECONDS = 0.2
SPREAD_FRACTION = 0.25
# Callers are told hundredths of a second; what is added must not be rounded
# away.
MIN_SPREAD_SECONDS = 0.01


def refuse_unserved(context, call, cause, retry_after):
    """Reject a call that no target has run; return the HTTP status.

    If the targets of its service rest or admit no request at present, and no
    other can serve it, the caller is told when the first of them does instead.

    Parameters
    ----------
    context : ForwardingContext
        State shared by all requests.
    call : Call
        The request.
    cause : str
        Why no target took it, unless it is held back or it is a rest or a
        limit.
    retry_after : float
        Delay before a retry in that case, in seconds.
    """
    _log_unserved(context, call)
    held = context.quarantine_gate.refusal(call)
    if held is not None:
        return refuse_call(context, call, held.cause, held.retry_after)
    if context.prober.reach.is_lost(call.service.name):
        return _refuse_cut_off(context, call)
    now = asyncio.get_running_loop().time()
    opens_at = context.target_selector.opens_at(call.service, now)
    if opens_at is None:
        return refuse_call(context, call, cause, retry_after)
    delay = spread_delay(opens_at - now, context.generator)
    return refuse_call(context, call, _closed_cause(context, call, now), delay)


def _refuse_cut_off(context, call):
    """Reject a call because this host, and any other asked, is cut off."""
    if call.is_relayed:
        return decline(call.exchange, "cut_off")
    delay = spread_delay(CUT_OFF_RETRY_SECONDS, context.generator)
    return refuse_call(context, call, "links lost", delay)


def _log_unserved(context, call):
    """Log how many targets of the service this host may use, and why not."""
    now = asyncio.get_running_loop().time()
    targets = context.fleet.of_service(call.service.name)
    silent = [t for t in targets if t.health.is_silent]
    suspects = [t for t in targets if t.health.is_suspect(now)]
    _LOG.info(
        "request_unserved",
        extra={
            "request": call.request_id,
            "service": call.service.name,
            "targets": len(targets),
            "silent": len(silent),
            "avoided": len(suspects) - len(silent),
            "resting": sum(t.is_resting(now) for t in targets),
            "failed": len(call.failed_targets),
        },
    )


def _closed_cause(context, call, now):
    targets = context.fleet.of_service(call.service.name)
    if any(target.waits_for_permit(now) for target in targets):
        return "targets limit requests"
    return "targets rest"


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
    spread = SPREAD_SECONDS + SPREAD_FRACTION * seconds
    return seconds + generator.uniform(MIN_SPREAD_SECONDS, spread)
