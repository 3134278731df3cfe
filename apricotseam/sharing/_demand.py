"""Demand of classes and customers, counted by each host."""

import msgspec


class DemandCount(msgspec.Struct, array_like=True):
    """Demand of one customer in one class, by one or several hosts.

    ``arrived_ms`` is the start work in milliseconds of the requests that
    arrived within the window, ``active_ms`` that of the requests in
    progress, and ``requests`` their number.
    """

    arrived_ms: float = 0.0
    active_ms: float = 0.0
    requests: int = 0
