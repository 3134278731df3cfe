"""Orders to the stand-in engine, and the weight loads that they start."""

import time

from apricotseam.errors import ConflictError
from apricotseam.errors import LimitExceededError
from apricotseam.web import HttpClient

STORE_TIMEOUT_SECONDS = 1.0


def placement_of(options):
    """Return what an engine holds: model, version, first and last layer.

    Parameters
    ----------
    options : EngineOptions
        Current options of the engine.

    Returns
    -------
    tuple of (str, str, int, int)
    """
    return (options.model, options.version, options.first, options.last)


class EngineLoads:
    """Accepts orders and applies each when its load has finished.

    Parameters
    ----------
    options : EngineOptions
        Options of the engine; changed when a load has finished.
    """

    __slots__ = (
        "_client",
        "_highest_fencing",
        "_load_ends_at",
        "_options",
        "_pending_order",
    )

    def __init__(self, options):
        self._options = options
        self._client = HttpClient()
        self._highest_fencing = 0
        self._pending_order = None
        self._load_ends_at = 0.0

    @property
    def loading_version(self):
        """Version whose weights are being loaded, or None."""
        return (
            self._pending_order.version
            if self._pending_order is not None
            else None
        )

    def accept(self, order):
        """Start the load for an order, or apply it if none is needed.

        An order replaces an earlier one whose load has not finished.

        Parameters
        ----------
        order : Order
            The order.

        Raises
        ------
        ConflictError
            If the engine checks fencing and the order is past its deadline
            or has an older fencing token than an earlier order.
        LimitExceededError
            If the weight store refuses the load.
        """
        if self._options.checks_fencing:
            self._check_order(order)
        self._highest_fencing = max(self._highest_fencing, order.fencing)
        requested = (order.model, order.version, order.first, order.last)
        has_adapters = set(order.adapters) <= set(self._options.adapters)
        seconds = 0.0
        if requested != placement_of(self._options) or not has_adapters:
            self._start_load()
            seconds = self._options.load_seconds
        self._pending_order = order
        self._load_ends_at = time.monotonic() + seconds
        self.finish_due_load()

    def finish_due_load(self):
        """Apply the pending order if its load has finished."""
        order = self._pending_order
        if order is None or time.monotonic() < self._load_ends_at:
            return
        self._pending_order = None
        for name in ("model", "version", "first", "last", "role"):
            setattr(self._options, name, getattr(order, name))
        self._options.adapters = list(order.adapters)

    def _check_order(self, order):
        if (
            order.fencing < self._highest_fencing
            or order.deadline < time.time()
        ):
            raise ConflictError(
                f"order with fencing token {order.fencing} is outdated",
                "read the lease again",
            )

    def _start_load(self):
        if self._options.weight_store is None:
            return
        deadline = time.monotonic() + STORE_TIMEOUT_SECONDS
        response = self._client.call(
            self._options.weight_store, "POST", "/v1/loads", deadline=deadline
        )
        if response.status != 200:
            raise LimitExceededError(
                "the weight store refused the load", "give the order again"
            )
