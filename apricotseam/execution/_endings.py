"""Converts responses and errors of a run to endings, and back."""

from apricotseam.errors import ApricotseamError
from apricotseam.errors import ConflictError
from apricotseam.errors import FailedError
from apricotseam.errors import Outcome
from apricotseam.errors import OutcomeUnknownError
from apricotseam.errors import OverloadedError
from apricotseam.errors import RefusedError
from apricotseam.execution._records import Ending
from apricotseam.execution._records import State
from apricotseam.execution._records import Verdict
from apricotseam.web import Response

READ_STATE_REMEDY = "read the state of your request before sending it again"
NEW_TICKET_REMEDY = (
    "get a new ticket from GET /v1/addresses and send the request with it"
)
FULL_RETRY_AFTER_SECONDS = 1.0

_STATES = {
    Outcome.NOT_RUN: State.NOT_RUN,
    Outcome.OUTCOME_UNKNOWN: State.UNKNOWN,
    Outcome.FAILED: State.ANSWERED,
}
_ERRORS = {
    State.NOT_RUN: RefusedError,
    State.UNKNOWN: OutcomeUnknownError,
    State.ANSWERED: FailedError,
}
_UNKNOWN_REASONS = {
    Verdict.RUNNING: "another copy of this request did not finish in time",
    Verdict.UNKNOWN: "it is unknown whether a copy of this request ran",
    Verdict.GONE: "the host with the record of this run is not available",
}


def ending_of_response(response):
    """Return the `Ending` of a run that returned a response."""
    return Ending(
        state=State.ANSWERED,
        status=response.status,
        content_type=response.content_type,
        body=response.body,
    )


def ending_of_error(error):
    """Return the `Ending` of a run that raised an exception."""
    if not isinstance(error, ApricotseamError):
        return Ending(
            state=State.UNKNOWN,
            code=OutcomeUnknownError.code,
            found="the run ended with an internal error",
            remedy=READ_STATE_REMEDY,
        )
    return Ending(
        state=_STATES[error.outcome],
        code=error.code,
        found=error.found,
        remedy=error.remedy,
    )


def response_of_reply(reply):
    """Return the response, or raise the error, that a reply describes.

    Parameters
    ----------
    reply : Reply
        Reply with any verdict except `Verdict.GRANTED`.

    Returns
    -------
    Response
        Recorded response of the run.

    Raises
    ------
    ConflictError
        If the ticket or key was used for another request.
    OverloadedError
        If there is no room to record another run.
    RefusedError
        If the request is known not to have run.
    OutcomeUnknownError
        If it is unknown whether the request ran.
    FailedError
        If the run failed.
    """
    if reply.verdict is Verdict.ENDED:
        return _response_of_ending(reply.ending)
    if reply.verdict is Verdict.CONFLICT:
        raise ConflictError(
            "this ticket or key was already used for another request",
            "use a separate ticket or key for each request",
        )
    if reply.verdict is Verdict.EXPIRED:
        raise RefusedError(
            "the ticket expired before the request was run", NEW_TICKET_REMEDY
        )
    if reply.verdict is Verdict.FULL:
        raise OverloadedError(
            "there is no room to record another run of this customer",
            "retry later",
            retry_after=FULL_RETRY_AFTER_SECONDS,
        )
    raise OutcomeUnknownError(
        _UNKNOWN_REASONS[reply.verdict], READ_STATE_REMEDY
    )


def _response_of_ending(ending):
    if not ending.code:
        return Response(ending.status, ending.body, ending.content_type)
    error = _ERRORS[ending.state](ending.found, ending.remedy)
    error.code = ending.code
    raise error
