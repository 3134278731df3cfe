"""Final answers to a caller: a target's answer, a failure or a refusal."""

import logging

import msgspec

from apricotseam.http1 import ResponseHead
from apricotseam.platform import refusal_headers
from apricotseam.platform import returned_headers
from apricotseam.relay import DECLINED_HEADER

_LOG = logging.getLogger(__name__)

DECLINED_STATUS = 503
# Statuses that promise callers that a request has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# Given in place of these where that is not proved.
UNPROVED_STATUS = 502


class Refusal(msgspec.Struct, frozen=True, kw_only=True):
    """Why a request is rejected without having run on any target.

    ``retry_after`` is in seconds; it is None where a retry cannot succeed.
    """

    status: int = 503
    cause: str
    retry_after: float | None = None


def refuse(context, exchange, request_id, revision, refusal):
    """Reject a request and return the HTTP status that was sent.

    Parameters
    ----------
    context : ForwardingContext
        State shared by all requests.
    exchange : Exchange
        Exchange on which the answer is sent.
    request_id : str
        Identifier of the request.
    revision : int
        Revision of the configuration that was applied.
    refusal : Refusal
        Status, cause and delay before a retry.
    """
    retry_after = refusal.retry_after
    rounded_retry_after = (
        None if retry_after is None else round(retry_after, 3)
    )
    context.metrics.refusals.labels(refusal.cause).inc()
    _LOG.info(
        "request_refused",
        extra={
            "request": request_id,
            "status": refusal.status,
            "cause": refusal.cause,
            "retry_after": rounded_retry_after,
            "revision": revision,
        },
    )
    exchange.answer(
        refusal.status, headers=refusal_headers(request_id, retry_after)
    )
    return refusal.status


def refuse_call(context, call, cause, retry_after):
    """Reject a call that no target has run; return the HTTP status."""
    if call.load.fair_shares and retry_after is not None:
        context.request_queue.record_return(call, retry_after)
    return refuse(
        context,
        call.exchange,
        call.request_id,
        call.table.position,
        Refusal(cause=cause, retry_after=retry_after),
    )


def decline(exchange, cause):
    """Answer another host that its request wasn't run here.

    Parameters
    ----------
    exchange : Exchange
        Exchange on which the answer is sent.
    cause : str
        A short label.

    Returns
    -------
    int
        The HTTP status.
    """
    headers = [(DECLINED_HEADER, cause.encode())]
    exchange.answer(DECLINED_STATUS, headers=headers)
    return DECLINED_STATUS


class FailedAnswer(msgspec.Struct, frozen=True):
    """A target's complete answer that reports a failure."""

    answer: ResponseHead
    body: bytes


def fail(call, status):
    """Report the failure of a call that may have run; return the status.

    A target's own answer is passed on, if there is one. The status must not
    be one that says that the call hasn't run.
    """
    failed = call.failed_answer
    if failed is not None:
        return deliver(call, failed.answer, failed.body)
    call.exchange.answer(status, headers=refusal_headers(call.request_id))
    return status


def deliver(call, answer, body):
    """Send a complete answer to the caller; return the status that was sent.

    An answer that says that a call has not run is passed on unchanged only if
    no attempt of this host may have run it. A target that did not run a call
    marks its answer, which then does not get here.

    Parameters
    ----------
    call : Call
        The request.
    answer : ResponseHead
        Head of the answer of a target or of another host.
    body : bytes
        Body of the answer.
    """
    if answer.status in NOT_RUN_STATUSES and call.runs:
        # Without the target's signature, which is for its own status only.
        headers = refusal_headers(call.request_id)
        call.exchange.answer(UNPROVED_STATUS, headers=headers)
        return UNPROVED_STATUS
    call.exchange.answer(
        answer.status, body, returned_headers(answer), answer.reason
    )
    return answer.status
