"""Interface of execution and the one that runs every request."""

import abc

import msgspec


class ExecutionRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request that must run at most once.

    ``ticket`` was issued with the address answer; ``key`` is the caller's
    own idempotency key; ``digest`` is the hash of method, path and body.
    """

    scope: str
    customer: str
    digest: str
    ticket: str | None = None
    key: str | None = None


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
