"""Exception hierarchy of the project.

Every class has a stable error code, an HTTP status, an exit code, and an
outcome that tells whether the request was run.
"""

import enum


class Outcome(enum.Enum):
    """Whether the request that led to an error was run."""

    NOT_RUN = "not_run"
    OUTCOME_UNKNOWN = "outcome_unknown"
    FAILED = "failed"


class ApricotseamError(Exception):
    """Base class of all errors of the project.

    Parameters
    ----------
    found : str
        Description of the problem, in one sentence without a full stop.
    remedy : str
        What the reader can do to solve the problem.
    retry_after : float, optional
        Seconds after which a retry may succeed.

    Attributes
    ----------
    code : str
        Stable error code.
    http_status : int
        Status code of an HTTP response with this error.
    exit_code : int
        Exit code of a command that fails with this error.
    outcome : Outcome
        Whether the request was run.

    Examples
    --------
    >>> str(ApricotseamError("the queue is full", "retry later"))
    'the queue is full; remedy: retry later'
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
    """Input of a caller or operator violates its schema."""

    code = "invalid_input"
    http_status = 400
    exit_code = 2
    outcome = Outcome.NOT_RUN


class InvalidFileError(InvalidInputError):
    """A YAML file violates its schema or cannot be read."""

    code = "invalid_file"


class InvalidRequestError(InvalidInputError):
    """The body or headers of a request violate their schema."""

    code = "invalid_request"


class RequestTooLargeError(InvalidInputError):
    """A request exceeds a size limit."""

    code = "request_too_large"
    http_status = 413


class UnknownNameError(InvalidInputError):
    """A name refers to an object that is not declared."""

    code = "unknown_name"
    http_status = 404


class AccessError(ApricotseamError):
    """Base class of errors about API keys and roles."""

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
    """A concurrent change came first, or an identifier is already in use."""

    code = "conflict"
    http_status = 409
    exit_code = 4
    outcome = Outcome.NOT_RUN


class RefusedError(ApricotseamError):
    """Base class of refusals; the request was certainly not run."""

    code = "refused"
    http_status = 503
    exit_code = 5
    outcome = Outcome.NOT_RUN


class LimitExceededError(RefusedError):
    """A customer has exceeded its limit."""

    code = "limit_exceeded"
    http_status = 429


class OverloadedError(RefusedError):
    """A queue is full, or the deadline of the request cannot be met."""

    code = "overloaded"


class LeavingError(RefusedError):
    """This host is draining and accepts no new requests."""

    code = "host_leaving"


class NoTargetError(RefusedError):
    """No target or chain of targets can accept the request."""

    code = "no_target"


class NotConfiguredError(RefusedError):
    """The host has not applied any configuration yet."""

    code = "not_configured"


class ServiceUnavailableError(RefusedError):
    """The platform's service did not accept the call."""

    code = "service_unavailable"


class OutcomeUnknownError(ApricotseamError):
    """The request may or may not have been run."""

    code = "outcome_unknown"
    http_status = 504
    exit_code = 6
    outcome = Outcome.OUTCOME_UNKNOWN


class AnswerLostError(OutcomeUnknownError):
    """A call to the platform was sent, but its answer was lost."""

    code = "answer_lost"


class FailedError(ApricotseamError):
    """The request was run, but did not succeed."""

    code = "failed"
    http_status = 502
    exit_code = 7


class TargetError(FailedError):
    """A target failed while it ran the request."""

    code = "target_failed"
