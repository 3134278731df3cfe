"""A client's connection: one call at a time, answers as they arrive."""

import asyncio
import collections

import h11

from apricotseam.http1._errors import ConnectError
from apricotseam.http1._errors import InterruptedReadError
from apricotseam.http1._errors import LostConnectionError
from apricotseam.http1._errors import MalformedAnswerError
from apricotseam.http1._errors import TransportTimeoutError
from apricotseam.http1._sockets import watch_for_silence

MAX_HEAD_BYTES = 1 << 16


class Answer:
    """Head of an answer.

    Parameters
    ----------
    status : int
        Status code.
    reason : bytes
        Reason phrase.
    headers : list of tuple
        Names as sent and values, both bytes.
    """

    __slots__ = ("_by_name", "headers", "reason", "status")

    def __init__(self, status, reason, headers):
        self.status = status
        self.reason = reason
        self.headers = headers
        self._by_name = {name.lower(): value for name, value in headers}

    def header(self, name):
        """Return a header as text, or None if it is not there.

        Parameters
        ----------
        name : bytes
            Name in lower case.
        """
        value = self._by_name.get(name)
        return None if value is None else value.decode("latin-1")


class Connection(asyncio.Protocol):
    """One connection to a server.

    Parameters
    ----------
    address : str
        ``ip:port`` of the server, for messages.
    """

    def __init__(self, address):
        self.address = address
        self.idle_since = 0.0
        self.expires_at = None
        self._parser = None
        self._events = collections.deque()
        self._waiter = None
        self._transport = None
        self._error = None
        self._is_busy = False
        self._is_closed = False
        self._has_calls = 0

    @property
    def is_usable(self):
        """Whether another call can be sent."""
        return not (self._is_busy or self._is_closed)

    @property
    def calls(self):
        """Number of calls that were sent."""
        return self._has_calls

    def connection_made(self, transport):
        """Keep the transport; called by the loop."""
        self._transport = transport
        watch_for_silence(transport)

    def data_received(self, data):
        """Parse what came in; called by the loop."""
        if not self._is_busy:
            # Bytes that no call asked for: nothing after them is sure.
            self.close()
            return
        self._feed(data)

    def eof_received(self):
        """Take the end of the server's bytes; called by the loop."""
        self._is_closed = True
        if self._is_busy:
            self._feed(b"")
        return False

    def connection_lost(self, error):
        """Take the end of the connection; called by the loop."""
        self._is_closed = True
        if error is not None:
            self._error = self._error or LostConnectionError(
                f"the connection to {self.address} was reset",
                "repeat the call if it is idempotent",
            )
        self._wake()

    def send(self, method, target, headers, body=b""):
        """Send one request whole.

        Parameters
        ----------
        method, target : bytes
            First line of the request.
        headers : list of tuple
            Names and values, without those that concern the connection.
        body : bytes
            The whole body.
        """
        self._parser = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._events.clear()
        self._error = None
        self._is_busy = True
        self._has_calls += 1
        head = h11.Request(method=method, target=target, headers=headers)
        parts = [self._parser.send(head)]
        if body:
            parts.append(self._parser.send(h11.Data(data=body)))
        parts.append(self._parser.send(h11.EndOfMessage()))
        self._transport.write(b"".join(parts))

    async def head(self, deadline):
        """Return the head of the answer.

        Parameters
        ----------
        deadline : float
            Time of the loop's clock.

        Returns
        -------
        Answer

        Raises
        ------
        TransportError
            If no head came by the deadline.
        """
        while True:
            event = await self._next(deadline)
            if isinstance(event, h11.InformationalResponse):
                continue
            if isinstance(event, h11.Response):
                headers = event.headers.raw_items()
                return Answer(event.status_code, event.reason, headers)
            raise self._malformed("an end before a head")

    async def read(self, deadline):
        """Return the next bytes of the body; none at its proper end.

        Raises
        ------
        TransportError
            If the body broke off or nothing came by the deadline.
        """
        event = await self._next(deadline)
        if isinstance(event, h11.Data):
            return bytes(event.data)
        self._finish()
        return b""

    async def read_all(self, deadline, limit):
        """Return the whole body.

        Raises
        ------
        TransportError
            If it broke off, came late or is over `limit` bytes.
        """
        parts = []
        size = 0
        while data := await self.read(deadline):
            size += len(data)
            if size > limit:
                raise self._malformed(f"a body over {limit} bytes")
            parts.append(data)
        return b"".join(parts)

    def interrupt(self):
        """Make the one that waits for bytes look up."""
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_exception(
                InterruptedReadError(
                    f"reading from {self.address} was interrupted",
                    "read again",
                )
            )

    def close(self):
        """Close the connection at once, with whatever is in progress."""
        self._is_closed = True
        if self._transport is not None:
            self._transport.abort()

    def _finish(self):
        """Decide whether the connection can carry another call."""
        parser = self._parser
        trailing, _ = parser.trailing_data
        is_done = parser.our_state is h11.DONE and (
            parser.their_state is h11.DONE
        )
        unsent = self._transport.get_write_buffer_size()
        self._is_busy = False
        if trailing or unsent or not is_done:
            self.close()

    def _feed(self, data):
        try:
            self._parser.receive_data(data)
            self._parse()
        except (h11.RemoteProtocolError, h11.LocalProtocolError) as error:
            self._error = self._malformed(str(error), data == b"")
            self._is_closed = True
        self._wake()

    def _parse(self):
        while True:
            event = self._parser.next_event()
            if event in (h11.NEED_DATA, h11.PAUSED):
                return
            if isinstance(event, h11.ConnectionClosed):
                return
            self._events.append(event)

    def _malformed(self, found, is_end=False):
        if is_end:
            return LostConnectionError(
                f"{self.address} ended its answer early ({found})",
                "repeat the call if it is idempotent",
            )
        return MalformedAnswerError(
            f"{self.address} sent {found}",
            "repeat the call if it is idempotent",
        )

    def _wake(self):
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    async def _next(self, deadline):
        while not self._events:
            if self._error is not None:
                raise self._error
            if self._is_closed:
                raise LostConnectionError(
                    f"{self.address} closed the connection",
                    "repeat the call if it is idempotent",
                )
            await self._wait(deadline)
        return self._events.popleft()

    async def _wait(self, deadline):
        loop = asyncio.get_running_loop()
        self._waiter = loop.create_future()
        timer = loop.call_at(deadline, self._expire, self._waiter)
        try:
            await self._waiter
        finally:
            timer.cancel()
            self._waiter = None

    def _expire(self, waiter):
        if not waiter.done():
            waiter.set_exception(
                TransportTimeoutError(
                    f"{self.address} sent nothing in time",
                    "repeat the call if it is idempotent",
                )
            )


async def connect(address, deadline):
    """Open a connection.

    Parameters
    ----------
    address : str
        ``ip:port``.
    deadline : float
        Time of the loop's clock.

    Returns
    -------
    Connection

    Raises
    ------
    ConnectError
        If there is none by the deadline; nothing was sent.
    """
    loop = asyncio.get_running_loop()
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout_at(deadline):
            _, connection = await loop.create_connection(
                lambda: Connection(address), host, int(port)
            )
    except (OSError, ValueError, TimeoutError) as error:
        raise ConnectError(
            f"no connection to {address} ({type(error).__name__})",
            "try another server",
        ) from None
    return connection
