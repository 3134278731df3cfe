"""Interface of execution and its implementations."""

import abc

import msgspec

from apricotseam.errors import InvalidRequestError
from apricotseam.errors import OutcomeUnknownError
from apricotseam.execution._metrics import REQUESTS


class ExecutionRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request that must run at most once.

    ``ticket`` was issued with the address answer; ``key`` is the caller's
    own idempotency key; ``digest`` is the hash of method, path and body.
    ``is_repeat`` says that the caller sent a copy before.
    """

    scope: str
    customer: str
    digest: str
    ticket: str | None = None
    key: str | None = None
    is_repeat: bool = False


class Execution(abc.ABC):
    """Runs requests at most once over all hosts."""

    @abc.abstractmethod
    def issue_ticket(self, scope, customer):
        """Return a new ticket for a customer."""

    @abc.abstractmethod
    def run_once(self, request, run):
        """Run a request unless it was run before.

        Parameters
        ----------
        request : ExecutionRequest
            What is to be run.
        run : callable
            Runs it and returns the `Response`.

        Returns
        -------
        Response
            The same answer for every copy of the request.
        """


class DirectExecution(Execution):
    """Runs every request that it is given."""

    def issue_ticket(self, scope, customer):
        """Return an empty ticket."""
        return ""

    def run_once(self, request, run):
        """Run the request."""
        return run()


class AtMostOnceExecution(Execution):
    """Runs requests by ticket, by the caller's key, or once by itself.

    A request with neither is a request of its own: this host runs it once
    and never again, and a copy that the caller sends is another request.

    Parameters
    ----------
    tickets : TicketRuns
        Runs by ticket.
    keys : KeyRuns
        Runs by the caller's key.
    ticket_seconds : float
        Seconds for which an issued ticket is granted.
    """

    def __init__(self, tickets, keys, ticket_seconds):
        self._tickets = tickets
        self._keys = keys
        self._ticket_seconds = ticket_seconds

    def issue_ticket(self, scope, customer):
        """Return a new ticket for a customer."""
        return self._tickets.issue(scope, customer, self._ticket_seconds)

    def run_once(self, request, run):
        """Run a request unless a copy of it was granted before."""
        if request.ticket and request.key:
            raise InvalidRequestError(
                "a ticket and an idempotency key were both sent",
                "send one of the two with each copy",
            )
        if request.ticket:
            return _counted("ticket", self._tickets, request, run)
        if request.key:
            return _counted("key", self._keys, request, run)
        REQUESTS.labels("neither", "run").inc()
        return run()


def _counted(way, runs, request, run):
    """Run a request once and count how this copy was settled."""
    settled = "refused"

    def run_here():
        nonlocal settled
        settled = "run"
        return run()

    try:
        response = runs.run_once(request, run_here)
        settled = "copy" if settled == "refused" else settled
        return response
    except OutcomeUnknownError:
        settled = "unknown"
        raise
    finally:
        REQUESTS.labels(way, settled).inc()
