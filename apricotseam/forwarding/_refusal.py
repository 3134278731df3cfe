"""Refusals: the request was provably not run."""

import logging

from apricotseam.platform import refusal_headers

_LOG = logging.getLogger(__name__)


def refuse(scene, call, cause, retry_after):
    """Refuse a call at once and return the status.

    Parameters
    ----------
    scene : Scene
        What requests read.
    call : Call
        A request that no target has run or will run.
    cause : str
        Why, for the log.
    retry_after : float
        Seconds after which there should be room.
    """
    scene.metrics.refusals.labels(cause).inc()
    _LOG.info(
        "request_refused",
        extra={
            "request": call.request_id,
            "status": 503,
            "cause": cause,
            "retry_after": round(retry_after, 3),
            "revision": call.table.revision,
        },
    )
    call.exchange.answer(
        503, headers=refusal_headers(call.request_id, retry_after)
    )
    return 503
