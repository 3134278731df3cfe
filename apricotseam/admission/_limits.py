"""Interface for per-customer limits, and an unlimited implementation."""

import abc


class CustomerLimits(abc.ABC):
    """Enforces limits on requests, tokens and streams per customer."""

    @abc.abstractmethod
    def acquire(self, work):
        """Count a request against its customer's limits.

        Raises
        ------
        LimitExceededError
            If the customer would exceed one of its limits.
        """

    @abc.abstractmethod
    def cancel(self, work):
        """Undo `acquire` for a request that was refused later."""

    @abc.abstractmethod
    def release(self, work, tokens):
        """Record that a request ended and how many tokens it used."""


class UnlimitedCustomers(CustomerLimits):
    """Accepts every request."""

    def acquire(self, work):
        """Accept the request."""

    def cancel(self, work):
        """Do nothing."""

    def release(self, work, tokens):
        """Do nothing."""
