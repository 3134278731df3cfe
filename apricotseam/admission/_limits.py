"""Interface of customers' limits and the one that has none."""

import abc


class CustomerLimits(abc.ABC):
    """Requests, tokens and streams that each customer may use."""

    @abc.abstractmethod
    def take(self, work):
        """Count a request against its customer's limits.

        Raises
        ------
        LimitExceededError
            If the customer is over a limit.
        """

    @abc.abstractmethod
    def give_back(self, work):
        """Undo `take` for a request that was refused afterwards."""

    @abc.abstractmethod
    def ended(self, work, tokens):
        """Note that a request ended and the tokens that it used."""


class UnlimitedCustomers(CustomerLimits):
    """Lets every request pass."""

    def take(self, work):
        """Let the request pass."""

    def give_back(self, work):
        """Do nothing."""

    def ended(self, work, tokens):
        """Do nothing."""
