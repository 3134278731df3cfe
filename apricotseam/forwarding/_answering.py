"""Answers that end a call: a target's, a failure, a refusal."""

import logging

import msgspec

from apricotseam.platform import refusal_headers
from apricotseam.platform import returned_headers

_LOG = logging.getLogger(__name__)


class Refusal(msgspec.Struct, frozen=True, kw_only=True):
    """Why a request, which has not run and will not, is not served.

    ``retry_after`` is in seconds; None where coming back is no use.
    """

    status: int = 503
    cause: str
    retry_after: float | None = None


def refuse(scene, exchange, request_id, revision, refusal):
    """Refuse a request at once and return the status.

    Parameters
    ----------
    scene : Scene
        What requests read.
    exchange : Exchange
        Where the answer goes.
    request_id : str
        Its identifier.
    revision : int
        Revision of the configuration that decided.
    refusal : Refusal
        Why.
    """
    retry_after = refusal.retry_after
    told = None if retry_after is None else round(retry_after, 3)
    scene.metrics.refusals.labels(refusal.cause).inc()
    _LOG.info(
        "request_refused",
        extra={
            "request": request_id,
            "status": refusal.status,
            "cause": refusal.cause,
            "retry_after": told,
            "revision": revision,
        },
    )
    exchange.answer(
        refusal.status, headers=refusal_headers(request_id, retry_after)
    )
    return refusal.status


def refuse_call(scene, call, cause, retry_after):
    """Refuse a call that no target has run, and return the status."""
    return refuse(
        scene,
        call.exchange,
        call.request_id,
        call.table.revision,
        Refusal(cause=cause, retry_after=retry_after),
    )


def fail(call, status):
    """Answer a call that a target may have run; return the status."""
    call.exchange.answer(status, headers=refusal_headers(call.request_id))
    return status


def deliver(call, answer, body):
    """Give the caller a target's whole answer; return its status."""
    call.exchange.answer(
        answer.status, body, returned_headers(answer), answer.reason
    )
    return answer.status
