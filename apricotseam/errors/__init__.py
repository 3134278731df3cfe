"""Exception hierarchy with stable error codes and remedies."""

from apricotseam.errors._errors import AccessError
from apricotseam.errors._errors import AnswerLostError
from apricotseam.errors._errors import ApricotseamError
from apricotseam.errors._errors import AuthenticationError
from apricotseam.errors._errors import ConflictError
from apricotseam.errors._errors import FailedError
from apricotseam.errors._errors import ForbiddenError
from apricotseam.errors._errors import InvalidFileError
from apricotseam.errors._errors import InvalidInputError
from apricotseam.errors._errors import InvalidRequestError
from apricotseam.errors._errors import LeavingError
from apricotseam.errors._errors import LimitExceededError
from apricotseam.errors._errors import NoTargetError
from apricotseam.errors._errors import NotConfiguredError
from apricotseam.errors._errors import Outcome
from apricotseam.errors._errors import OutcomeUnknownError
from apricotseam.errors._errors import OverloadedError
from apricotseam.errors._errors import RefusedError
from apricotseam.errors._errors import RequestTooLargeError
from apricotseam.errors._errors import ServiceUnavailableError
from apricotseam.errors._errors import TargetError
from apricotseam.errors._errors import UnknownNameError
from apricotseam.errors._names import unknown_name

__all__ = [
    "AccessError",
    "AnswerLostError",
    "ApricotseamError",
    "AuthenticationError",
    "ConflictError",
    "FailedError",
    "ForbiddenError",
    "InvalidFileError",
    "InvalidInputError",
    "InvalidRequestError",
    "LeavingError",
    "LimitExceededError",
    "NoTargetError",
    "NotConfiguredError",
    "Outcome",
    "OutcomeUnknownError",
    "OverloadedError",
    "RefusedError",
    "RequestTooLargeError",
    "ServiceUnavailableError",
    "TargetError",
    "UnknownNameError",
    "unknown_name",
]
