"""The response to one request, and why it may end incomplete."""

import enum

import h11


class EndCause(enum.StrEnum):
    """Why the connection of an unfinished request ended."""

    CLIENT_CLOSED = "client_closed"
    HOST_STOPPED = "host_stopped"
    HANDLER_GAVE_UP = "handler_gave_up"
    HANDLER_FAILED = "handler_failed"
    HANDLER_CANCELLED = "handler_cancelled"


class Exchange:
    """Writes the response to one request.

    Parameters
    ----------
    connection : ServerConnection
        Connection over which the response is sent.

    Attributes
    ----------
    is_started : bool
        Whether the status line and headers were sent.
    is_ended : bool
        Whether the response was completed or aborted.
    must_close : bool
        Whether the connection is to be closed after the response.
    request_id : str
        Identifier of the request, for the log; set by the handler.
    """

    __slots__ = (
        "_connection",
        "is_ended",
        "is_started",
        "must_close",
        "request_id",
    )

    def __init__(self, connection):
        self._connection = connection
        self.is_started = False
        self.is_ended = False
        self.must_close = False
        self.request_id = ""

    @property
    def client_ip(self):
        """IP address of the client, empty if the connection is closed."""
        return self._connection.client_ip

    @property
    def end_cause(self):
        """`EndCause` of the connection, or None while it is open."""
        return self._connection.end_cause

    def start(self, status, headers, reason=b""):
        """Send the status line and headers of the response.

        Parameters
        ----------
        status : int
            Status code.
        headers : list of (bytes, bytes)
            Names and values.
        reason : bytes
            Reason phrase.
        """
        if self.must_close:
            headers = [*headers, (b"Connection", b"close")]
        self._connection.send(
            h11.Response(status_code=status, headers=headers, reason=reason)
        )
        self.is_started = True

    async def write(self, data, deadline=None):
        """Send a part of the body; wait while the send buffer is full.

        Parameters
        ----------
        data : bytes
            The part.
        deadline : float, optional
            Time on the event loop's clock until which to wait.

        Raises
        ------
        TransportTimeoutError
            If the client has not made room by the deadline.
        """
        self._connection.send(h11.Data(data=data))
        await self._connection.wait_until_writable(deadline)

    def end(self):
        """Send the end of the response."""
        self.is_ended = True
        self._connection.send(h11.EndOfMessage())

    def answer(self, status, body=b"", headers=(), reason=b""):
        """Send a complete response."""
        length = (b"Content-Length", str(len(body)).encode())
        self.start(status, [*headers, length], reason)
        if body:
            self._connection.send(h11.Data(data=body))
        self.end()

    def abort_response(self, cause=EndCause.HANDLER_GAVE_UP):
        """Close the connection; the client sees a truncated response.

        Parameters
        ----------
        cause : EndCause
            Why the response isn't completed, for the log.
        """
        self.is_ended = True
        self._connection.abort(cause)
