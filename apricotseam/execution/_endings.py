"""Turns answers and errors of a run into endings, and back."""

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
NEW_TICKET_REMEDY = "take a new ticket at GET /v1/addresses and send it again"
FULL_RETRY_SECONDS = 1.0

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
_REASONS = {
    Verdict.RUNNING: "another copy of this request did not end in time",
    Verdict.UNKNOWN: "whether a copy of this request ran is not known",
    Verdict.GONE: "the host that knows this run does not answer",
}


def ending_of_response(response):
    """Return the `Ending` of an answer."""
    return Ending(
        state=State.ANSWERED,
        status=response.status,
        content_type=response.content_type,
        body=response.body,
    )


def ending_of_error(error):
    """Return the `Ending` of any exception of a run."""
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


def settle(reply):
    """Return the response that a reply other than a grant stands for.

    Raises
    ------
    ConflictError
        If the ticket or key was used for another request.
    RefusedError
        If it is proved that the request was not run.
    OutcomeUnknownError
        If a run is neither proved nor ruled out.
    FailedError
        If the run failed.
    """
    if reply.verdict is Verdict.ENDED:
        return _replay(reply.ending)
    if reply.verdict is Verdict.CONFLICT:
        raise ConflictError(
            "this ticket or key was used for another request",
            "use a ticket or key of its own for each request",
        )
    if reply.verdict is Verdict.EXPIRED:
        raise RefusedError(
            "the ticket expired before a copy was run", NEW_TICKET_REMEDY
        )
    if reply.verdict is Verdict.FULL:
        raise OverloadedError(
            "too many runs are recorded for this customer",
            "send it again later",
            retry_after=FULL_RETRY_SECONDS,
        )
    raise OutcomeUnknownError(_REASONS[reply.verdict], READ_STATE_REMEDY)


def _replay(ending):
    if not ending.code:
        return Response(ending.status, ending.body, ending.content_type)
    error = _ERRORS[ending.state](ending.found, ending.remedy)
    error.code = ending.code
    raise error
