"""Interface of at-most-once execution and its implementations."""

import abc

import msgspec

from apricotseam.errors import InvalidRequestError
from apricotseam.errors import OutcomeUnknownError
from apricotseam.execution._metrics import REQUESTS


class ExecutionRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request that must run at most once.

    ``ticket`` was issued with the answer to GET /v1/addresses; ``key`` is
    an idempotency key chosen by the caller; ``digest`` is the hexadecimal
    hash of method, path and body. ``is_repeat`` is true if the caller says
    that it sent a copy of the request before.
    """

    scope: str
    customer: str
    digest: str
    ticket: str | None = None
    key: str | None = None
    is_repeat: bool = False


class Execution(abc.ABC):
    """Runs each request at most once over all hosts."""

    @abc.abstractmethod
    def issue_ticket(self, scope, customer):
        """Return a new ticket for a customer."""

    @abc.abstractmethod
    def run_once(self, request, run):
        """Run a request unless a copy of it was run before.

        Parameters
        ----------
        request : ExecutionRequest
            Identity of the request.
        run : callable
            Runs the request and returns its `Response`.

        Returns
        -------
        Response
            The same response for every copy of the request.
        """


class DirectExecution(Execution):
    """Runs every copy of a request, without deduplication."""

    def issue_ticket(self, scope, customer):
        """Return an empty ticket."""
        return ""

    def run_once(self, request, run):
        """Run the request."""
        return run()


class AtMostOnceExecution(Execution):
    """Deduplicates requests by ticket or by idempotency key.

    A request with neither cannot be recognised as a copy. This host runs it
    once without retries; a copy that the caller sends is a new request.

    Parameters
    ----------
    tickets : TicketRunner
        Runs requests that carry a ticket.
    keys : IdempotencyKeyRunner
        Runs requests that carry an idempotency key.
    ticket_seconds : float
        Seconds for which an issued ticket is valid.
    """

    def __init__(self, tickets, keys, ticket_seconds):
        self._tickets = tickets
        self._keys = keys
        self._ticket_seconds = ticket_seconds

    def issue_ticket(self, scope, customer):
        """Return a new ticket for a customer."""
        return self._tickets.issue(scope, customer, self._ticket_seconds)

    def run_once(self, request, run):
        """Run a request unless a copy of it was granted a run before."""
        if request.ticket and request.key:
            raise InvalidRequestError(
                "the request has both a ticket and an idempotency key",
                "send only one of the two, the same one with each copy",
            )
        if request.ticket:
            return _run_and_count("ticket", self._tickets, request, run)
        if request.key:
            return _run_and_count("key", self._keys, request, run)
        REQUESTS.labels("neither", "run").inc()
        return run()


def _run_and_count(way, runner, request, run):
    """Run a request once and count the result for this copy.

    Parameters
    ----------
    way : {"ticket", "key"}
        How copies of the request are recognised; a metric label.
    runner : TicketRunner or IdempotencyKeyRunner
        Runs the request.
    request : ExecutionRequest
        Identity of the request.
    run : callable
        Runs the request and returns its `Response`.
    """
    settled = "refused"

    def run_here():
        nonlocal settled
        settled = "run"
        return run()

    try:
        response = runner.run_once(request, run_here)
        settled = "copy" if settled == "refused" else settled
        return response
    except OutcomeUnknownError:
        settled = "unknown"
        raise
    finally:
        REQUESTS.labels(way, settled).inc()
