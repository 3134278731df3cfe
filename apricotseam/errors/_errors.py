"""Exception tree of the project.

Every kind states a stable code, the HTTP status and exit code that follow
from it, and whether the request it answers was run.
"""

import enum


class Outcome(enum.Enum):
    """Whether the request that an error answers was run."""

    NOT_RUN = "not_run"
    OUTCOME_UNKNOWN = "outcome_unknown"
    FAILED = "failed"


class ApricotseamError(Exception):
    """Base of all errors of the project.

    Parameters
    ----------
    found : str
        What was found, in one sentence without a full stop.
    remedy : str
        What the reader can do about it.
    retry_after : float, optional
        Seconds after which a repeat is worth trying.

    Examples
    --------
    >>> str(ApricotseamError("the door is shut", "open it"))
    'the door is shut; remedy: open it'
    """

    code = "internal_error"
    http_status = 500
    exit_code = 1
    outcome = Outcome.FAILED

    def __init__(self, found, remedy, retry_after=None):
        super().__init__(f"{found}; remedy: {remedy}")
        self.found = found
        self.remedy = remedy
        self.retry_after = retry_after


class InvalidInputError(ApricotseamError):
    """Input of a caller or operator breaks its schema."""

    code = "invalid_input"
    http_status = 400
    exit_code = 2
    outcome = Outcome.NOT_RUN


class InvalidFileError(InvalidInputError):
    """A YAML file breaks its schema or cannot be read."""

    code = "invalid_file"


class InvalidRequestError(InvalidInputError):
    """The body or headers of a request break their schema."""

    code = "invalid_request"


class RequestTooLargeError(InvalidInputError):
    """A request is over a size bound."""

    code = "request_too_large"
    http_status = 413


class UnknownNameError(InvalidInputError):
    """A name refers to nothing that is declared."""

    code = "unknown_name"
    http_status = 404


class AccessError(ApricotseamError):
    """Base of errors about keys and roles."""

    code = "access_denied"
    http_status = 403
    exit_code = 3
    outcome = Outcome.NOT_RUN


class AuthenticationError(AccessError):
    """A key is missing or unknown."""

    code = "authentication_failed"
    http_status = 401


class ForbiddenError(AccessError):
    """The key is known but its role or owner does not allow the call."""

    code = "forbidden"


class ConflictError(ApricotseamError):
    """Another change won, or the same identifier means something else."""

    code = "conflict"
    http_status = 409
    exit_code = 4
    outcome = Outcome.NOT_RUN


class RefusedError(ApricotseamError):
    """Base of refusals: the request was provably not run."""

    code = "refused"
    http_status = 503
    exit_code = 5
    outcome = Outcome.NOT_RUN


class LimitExceededError(RefusedError):
    """A customer is over its limit."""

    code = "limit_exceeded"
    http_status = 429


class OverloadedError(RefusedError):
    """A queue is full, or the deadline of the request cannot be met."""

    code = "overloaded"


class LeavingError(RefusedError):
    """This host is draining and takes no new work."""

    code = "host_leaving"


class NoTargetError(RefusedError):
    """No target or chain can take the request."""

    code = "no_target"


class NotConfiguredError(RefusedError):
    """The host has no configuration in force yet."""

    code = "not_configured"


class ServiceUnavailableError(RefusedError):
    """The platform's service did not take the call."""

    code = "service_unavailable"


class OutcomeUnknownError(ApricotseamError):
    """The request may or may not have been run."""

    code = "outcome_unknown"
    http_status = 504
    exit_code = 6
    outcome = Outcome.OUTCOME_UNKNOWN


class AnswerLostError(OutcomeUnknownError):
    """A call to the platform was sent and its answer was lost."""

    code = "answer_lost"


class FailedError(ApricotseamError):
    """The request was run and did not succeed."""

    code = "failed"
    http_status = 502
    exit_code = 7


class TargetError(FailedError):
    """A target failed while it ran the request."""

    code = "target_failed"
