"""Errors of calls to the platform's key-value store."""

from apricotseam.errors import ApricotseamError
from apricotseam.errors import ConflictError


class StoreError(ApricotseamError):
    """The store did not answer, or refused the call.

    ``may_have_executed`` is True if the store may have executed the call
    although no usable response arrived.
    """

    code = "store_unavailable"
    http_status = 503

    def __init__(self, found, remedy, may_have_executed=False):
        super().__init__(found, remedy)
        self.may_have_executed = may_have_executed


class HistoryLostError(StoreError):
    """The store no longer has the changes that were asked for."""

    code = "history_lost"


class AnswerTooLargeError(StoreError):
    """The answer is larger than the caller wants to read."""

    code = "answer_too_large"


class LeaseEndedError(StoreError):
    """The lease has ended."""

    code = "lease_ended"


class StaleAnswerError(StoreError):
    """The answer is of an earlier era than one that is known already."""

    code = "stale_answer"


class StoreConflictError(ConflictError):
    """The condition of a change does not hold."""

    code = "store_conflict"
