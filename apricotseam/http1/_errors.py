"""Errors of HTTP connections."""

from apricotseam.errors import ApricotseamError


class TransportError(ApricotseamError):
    """A call over a connection did not complete."""

    code = "transport_failed"
    http_status = 502


class ConnectError(TransportError):
    """No connection was made, so nothing was sent."""

    code = "connect_failed"


class RefusedConnectionError(ConnectError):
    """The address refused the connection: no process listens there."""

    code = "connection_refused"


class LostConnectionError(TransportError):
    """The connection ended before the answer did."""

    code = "connection_lost"


class MalformedAnswerError(TransportError):
    """The peer sent bytes that are no answer to this call."""

    code = "malformed_answer"


class BodyTooLargeError(MalformedAnswerError):
    """The body of the answer is larger than the caller takes."""

    code = "body_too_large"


class TransportTimeoutError(TransportError):
    """The peer sent nothing by the deadline."""

    code = "transport_timeout"
    http_status = 504


class InterruptedReadError(TransportError):
    """Another part of the process interrupted the read."""

    code = "read_interrupted"
