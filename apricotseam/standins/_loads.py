"""Loads of a stand-in engine: what it holds and what it is loading."""

import time

from apricotseam.errors import ConflictError
from apricotseam.errors import LimitExceededError
from apricotseam.web import HttpClient

STORE_TIMEOUT_SECONDS = 1.0


def held_by(options):
    """Return model, version, first and last layer that an engine holds."""
    return (options.model, options.version, options.first, options.last)


class EngineLoads:
    """Takes orders and brings them into force once their load ended.

    Parameters
    ----------
    options : EngineOptions
        What the engine holds; changed when a load ends.
    """

    __slots__ = ("_client", "_due", "_fencing", "_options", "_order")

    def __init__(self, options):
        self._options = options
        self._client = HttpClient()
        self._fencing = 0
        self._order = None
        self._due = 0.0

    @property
    def version(self):
        """Version whose weights are being loaded, or None."""
        return self._order.version if self._order is not None else None

    def take(self, order):
        """Take an order.

        Raises
        ------
        ConflictError
            If the engine checks and the order is of an earlier orderer
            or past its deadline.
        LimitExceededError
            If the weight store refuses the load.
        """
        if self._options.checks_fencing:
            self._check(order)
        self._fencing = max(self._fencing, order.fencing)
        wanted = (order.model, order.version, order.first, order.last)
        has_adapters = set(order.adapters) <= set(self._options.adapters)
        seconds = 0.0
        if wanted != held_by(self._options) or not has_adapters:
            self._start_load()
            seconds = self._options.load_seconds
        self._order = order
        self._due = time.monotonic() + seconds
        self.finish()

    def finish(self):
        """Bring an order into force if its load has ended."""
        order = self._order
        if order is None or time.monotonic() < self._due:
            return
        self._order = None
        for name in ("model", "version", "first", "last", "role"):
            setattr(self._options, name, getattr(order, name))
        self._options.adapters = list(order.adapters)

    def _check(self, order):
        if order.fencing < self._fencing or order.deadline < time.time():
            raise ConflictError(
                f"an order with fencing number {order.fencing} is void",
                "read the lease again",
            )

    def _start_load(self):
        if self._options.weight_store is None:
            return
        deadline = time.monotonic() + STORE_TIMEOUT_SECONDS
        answer = self._client.call(
            self._options.weight_store, "POST", "/v1/loads", deadline=deadline
        )
        if answer.status != 200:
            raise LimitExceededError(
                "the weight store lets no load start now", "order it again"
            )
