"""Bounds on the requests that a server accepts."""

import msgspec


class Limits(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds on the size of a request and on the time to receive it.

    Attributes
    ----------
    head_bytes : int
        Largest size of the request line and headers in bytes.
    body_bytes : int
        Largest size of the body in bytes.
    receive_timeout_seconds : float
        Seconds from the first byte within which the complete request,
        including its body, must be received.
    idle_seconds : float
        Seconds after which a connection without a request is closed.
    """

    head_bytes: int = 16384
    body_bytes: int = 4 << 20
    receive_timeout_seconds: float = 3.0
    idle_seconds: float = 15.0
