"""HTTP/1.1 client connection that streams the response body."""

import asyncio

import h11

from apricotseam.http1._answer_budget import AnswerBudget
from apricotseam.http1._errors import BodyTooLargeError
from apricotseam.http1._errors import ConnectError
from apricotseam.http1._errors import InterruptedReadError
from apricotseam.http1._errors import LostConnectionError
from apricotseam.http1._errors import MalformedAnswerError
from apricotseam.http1._errors import RefusedConnectionError
from apricotseam.http1._errors import TransportTimeoutError
from apricotseam.http1._sockets import enable_keepalive

MAX_HEAD_BYTES = 1 << 16
# Heads of informational responses that may precede the response.
MAX_INFORMATIONAL_HEADS = 16
# Higher ones are invalid (RFC 9110, section 15).
MAX_STATUS = 599
# Answers that have no body (RFC 9112, section 6.3).
BODILESS_STATUSES = (204, 304)
# Unread bytes at which reading from the server is paused.
PAUSE_BYTES = 1 << 17
# Events read without waiting after which other tasks get their turn.
EVENTS_PER_TURN = 64


class ResponseHead:
    """Status line and headers of a response.

    Parameters
    ----------
    status : int
        Status code.
    reason : bytes
        Reason phrase.
    headers : list of (bytes, bytes)
        Names, in the case in which they were sent, and values.
    """

    __slots__ = ("_values_by_name", "headers", "reason", "status")

    def __init__(self, status, reason, headers):
        self.status = status
        self.reason = reason
        self.headers = headers
        self._values_by_name = {name.lower(): value for name, value in headers}

    @property
    def has_framing(self):
        """Whether the end of the body is stated by a length or in chunks.

        If not, the body ends with the connection.
        """
        if self.status in BODILESS_STATUSES:
            return True
        if self.header(b"content-length") is not None:
            return True
        encoding = self.header(b"transfer-encoding") or ""
        return "chunked" in encoding.lower()

    def header(self, name):
        """Return the last value of a header, or None if it is missing.

        Parameters
        ----------
        name : bytes
            Name of the header in lower case.
        """
        value = self._values_by_name.get(name)
        return None if value is None else value.decode("latin-1")


class Connection(asyncio.Protocol):
    """One connection to a server, for one request at a time.

    Parameters
    ----------
    address : str
        ``ip:port`` of the server, for error messages.
    budget : AnswerBudget, optional
        Bounds what the answers of all connections hold; a budget of its own
        by default.

    Attributes
    ----------
    idle_since : float
        Time on the event loop's clock at which the last response was read;
        set by `ConnectionPool`.
    expires_at : float or None
        Time on the event loop's clock until which the connection may be
        kept idle; set by `ConnectionPool`.
    """

    def __init__(self, address, budget=None):
        self.address = address
        self._budget = AnswerBudget() if budget is None else budget
        # Bytes of the answer that its reader holds.
        self._kept_bytes = 0
        self.idle_since = 0.0
        self.expires_at = None
        self._parser = None
        # Received bytes that the parser has not used up, at most.
        self._unread_bytes = 0
        self._is_paused = False
        self._events_in_turn = 0
        self._waiter = None
        self._transport = None
        self._error = None
        self._is_busy = False
        self._is_closed = False
        # Whether the server has ended its data within a response.
        self._has_ended = False
        self._request_count = 0

    @property
    def is_usable(self):
        """Whether the connection can take another request."""
        return not (self._is_busy or self._is_closed)

    @property
    def calls(self):
        """Number of requests that were sent."""
        return self._request_count

    def connection_made(self, transport):
        """Store the transport; called by the event loop."""
        self._transport = transport
        enable_keepalive(transport)

    def data_received(self, data):
        """Parse received bytes; called by the event loop."""
        if not self._is_busy:
            # Unsolicited bytes could be taken for the response to the next
            # request.
            self.close()
            return
        if self._parser is None:
            # The response was given up.
            return
        self._parser.receive_data(data)
        self._unread_bytes += len(data)
        self._record_held()
        if self._unread_bytes >= PAUSE_BYTES and not self._is_paused:
            self._is_paused = True
            self._transport.pause_reading()
        self._wake_reader()

    def eof_received(self):
        """Handle the end of the server's data; called by the event loop."""
        self._is_closed = True
        if self._is_busy and self._parser is not None:
            self._parser.receive_data(b"")
            self._has_ended = True
            self._wake_reader()
        return False

    def connection_lost(self, error):
        """Handle a closed connection; called by the event loop."""
        self._is_closed = True
        self._budget.record(self, 0)
        if error is not None:
            self._error = self._error or LostConnectionError(
                f"the connection to {self.address} was reset",
                "retry the call if it is idempotent",
            )
        self._wake_reader()

    def send(self, method, target, headers, body=b""):
        """Send one request with its body.

        Parameters
        ----------
        method, target : bytes
            Method and request target of the request line.
        headers : list of (bytes, bytes)
            Names and values, without hop-by-hop headers.
        body : bytes
            The complete body.
        """
        self._parser = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._unread_bytes = 0
        self._kept_bytes = 0
        self._events_in_turn = 0
        self._error = None
        self._has_ended = False
        self._is_busy = True
        self._request_count += 1
        request = h11.Request(method=method, target=target, headers=headers)
        parts = [self._parser.send(request)]
        if body:
            parts.append(self._parser.send(h11.Data(data=body)))
        parts.append(self._parser.send(h11.EndOfMessage()))
        self._transport.write(b"".join(parts))

    async def head(self, deadline):
        """Return the status line and headers of the response.

        Parameters
        ----------
        deadline : float
            Time on the event loop's clock.

        Returns
        -------
        ResponseHead

        Raises
        ------
        TransportError
            If they were not received by the deadline, or are no answer.
        """
        for _ in range(MAX_INFORMATIONAL_HEADS + 1):
            event = await self._next_event(deadline)
            if isinstance(event, h11.InformationalResponse):
                continue
            if isinstance(event, h11.Response):
                if event.status_code > MAX_STATUS:
                    raise self._fail(f"the status {event.status_code}")
                headers = event.headers.raw_items()
                return ResponseHead(event.status_code, event.reason, headers)
            raise self._fail("the end of the message before its head")
        raise self._fail(
            f"more than {MAX_INFORMATIONAL_HEADS} informational responses"
        )

    async def read(self, deadline):
        """Return the next bytes of the body; empty at its regular end.

        Parameters
        ----------
        deadline : float
            Time on the event loop's clock.

        Raises
        ------
        TransportError
            If the body was truncated or nothing was received by the
            deadline.
        """
        event = await self._next_event(deadline)
        if isinstance(event, h11.Data):
            return bytes(event.data)
        self._finish_response()
        return b""

    async def read_all(self, deadline, limit, extend=None):
        """Return the complete body.

        Parameters
        ----------
        deadline : float
            Time on the event loop's clock.
        limit : int
            Largest size of the body in bytes.
        extend : callable, optional
            Called after each part of the body; returns the deadline of the
            rest. By default it stays the same.

        Raises
        ------
        TransportError
            If the body was truncated, not received by the deadline or
            larger than `limit`.
        """
        body = bytearray()
        try:
            while data := await self.read(deadline):
                body += data
                if len(body) > limit:
                    raise self._fail(
                        f"a body larger than {limit} bytes", BodyTooLargeError
                    )
                self.keep(len(body))
                if extend is not None:
                    deadline = extend()
            return bytes(body)
        finally:
            # An error keeps this frame, and must not keep the body.
            body.clear()
            self.keep(0)

    def keep(self, size_bytes):
        """Record how many bytes of the answer its reader holds."""
        self._kept_bytes = size_bytes
        self._record_held()

    def give_up(self):
        """Give the answer up, as all answers hold too much."""
        self._fail("more than this host can hold of all answers")
        self.close()
        self._wake_reader()

    def interrupt(self):
        """Make a pending read raise `InterruptedReadError`."""
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_exception(
                InterruptedReadError(
                    f"reading from {self.address} was interrupted",
                    "read again",
                )
            )

    def close(self):
        """Close the connection at once, even during a request."""
        self._is_closed = True
        if self._transport is not None:
            self._transport.abort()

    def _record_held(self):
        self._budget.record(self, self._unread_bytes + self._kept_bytes)

    def _release(self):
        """Forget what was received."""
        self._parser = None
        self._unread_bytes = 0
        self._kept_bytes = 0

    def _finish_response(self):
        """Close the connection unless it can take another request."""
        parser = self._parser
        trailing, _ = parser.trailing_data
        is_done = parser.our_state is h11.DONE and (
            parser.their_state is h11.DONE
        )
        unsent = self._transport.get_write_buffer_size()
        self._is_busy = False
        self._resume_reading()
        if trailing or unsent or not is_done:
            self.close()

    def _parse_next(self):
        """Return the next event of the received bytes, None if incomplete."""
        try:
            event = self._parser.next_event()
        except (h11.RemoteProtocolError, h11.LocalProtocolError) as error:
            kind = (
                LostConnectionError
                if self._has_ended
                else MalformedAnswerError
            )
            raise self._fail(str(error), kind) from None
        if event in (h11.NEED_DATA, h11.PAUSED):
            self._unread_bytes = 0
            self._record_held()
            self._resume_reading()
            return None
        if isinstance(event, h11.ConnectionClosed):
            return None
        return event

    def _resume_reading(self):
        if self._is_paused and not self._is_closed:
            self._is_paused = False
            self._transport.resume_reading()

    def _fail(self, description, kind=MalformedAnswerError):
        """Give the response up; return the error, which later reads raise."""
        found = f"{self.address} sent {description}"
        if kind is LostConnectionError:
            found = (
                f"{self.address} closed the connection before the end of its"
                f" response ({description})"
            )
        self._error = kind(found, "retry the call if it is idempotent")
        self._is_closed = True
        self._release()
        return self._error

    def _wake_reader(self):
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    async def _next_event(self, deadline):
        """Return the next event of the response.

        Bytes are parsed only as they are read, so that a server which sends
        without end costs no more than what the reader takes.
        """
        await self._let_others_run(deadline)
        while True:
            if isinstance(self._error, MalformedAnswerError):
                raise self._error
            event = self._parse_next()
            if event is not None:
                return event
            if self._error is not None:
                raise self._error
            if self._is_closed:
                raise LostConnectionError(
                    f"{self.address} closed the connection",
                    "retry the call if it is idempotent",
                )
            self._events_in_turn = 0
            await self._wait_for_bytes(deadline)

    async def _let_others_run(self, deadline):
        """Yield now and then to other tasks, also while bytes arrive."""
        self._events_in_turn += 1
        if self._events_in_turn < EVENTS_PER_TURN:
            return
        self._events_in_turn = 0
        await asyncio.sleep(0)
        if asyncio.get_running_loop().time() >= deadline:
            raise self._timeout_error()

    async def _wait_for_bytes(self, deadline):
        loop = asyncio.get_running_loop()
        self._waiter = loop.create_future()
        timer = loop.call_at(deadline, self._time_out, self._waiter)
        try:
            await self._waiter
        finally:
            timer.cancel()
            self._waiter = None

    def _time_out(self, waiter):
        if not waiter.done():
            waiter.set_exception(self._timeout_error())

    def _timeout_error(self):
        return TransportTimeoutError(
            f"{self.address} sent no complete response before the deadline",
            "retry the call if it is idempotent",
        )


async def connect(address, deadline, budget=None):
    """Open a connection to a server.

    Parameters
    ----------
    address : str
        ``ip:port`` of the server.
    deadline : float
        Time on the event loop's clock.
    budget : AnswerBudget, optional
        As for `Connection`.

    Returns
    -------
    Connection

    Raises
    ------
    ConnectError
        If no connection was open by the deadline; nothing was sent. It is a
        `RefusedConnectionError` if the address refused the connection.
    """
    loop = asyncio.get_running_loop()
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout_at(deadline):
            _, connection = await loop.create_connection(
                lambda: Connection(address, budget), host, int(port)
            )
    except (OSError, ValueError, TimeoutError) as error:
        is_refused = isinstance(error, ConnectionRefusedError)
        kind = RefusedConnectionError if is_refused else ConnectError
        raise kind(
            f"no connection to {address} ({type(error).__name__})",
            "try another server",
        ) from None
    return connection
