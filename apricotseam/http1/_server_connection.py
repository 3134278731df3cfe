"""Connection of a client to the server."""

import asyncio
import logging

import h11

from apricotseam.http1._budget import CutCause
from apricotseam.http1._errors import TransportTimeoutError
from apricotseam.http1._exchange import EndCause
from apricotseam.http1._exchange import Exchange
from apricotseam.http1._message import Request
from apricotseam.http1._sockets import CLIENT_USER_TIMEOUT_MILLISECONDS
from apricotseam.http1._sockets import enable_keepalive
from apricotseam.http1._sockets import has_peer_closed
from apricotseam.http1._sockets import set_user_timeout
from apricotseam.http1._sockets import USER_TIMEOUT_MILLISECONDS

_LOG = logging.getLogger(__name__)

# Time for which bytes of the client are discarded after the last answer. A
# close before they have arrived would reset the connection, which may destroy
# the answer on its way.
LINGER_SECONDS = 0.5
# Time after which a client that does not read its last answer is given up.
MAX_LINGER_SECONDS = 15.0
# Bytes that are given to the parser at a time, and events that it returns
# before other connections get their turn.
PARSE_BYTES = 16384
MAX_PARSE_EVENTS = 64
# Estimated size of a header field in memory beside its bytes.
FIELD_OVERHEAD_BYTES = 200
# Interval at which a connection that is not read is checked for its end.
END_CHECK_SECONDS = 0.2
RETRY_AFTER_CUT = ((b"Retry-After", b"1"),)


class ServerConnection(asyncio.Protocol):
    """One connection of a client.

    Parameters
    ----------
    server : Server
        Server that accepted it.

    Attributes
    ----------
    end_cause : EndCause or None
        Why the connection ended before its request was answered.
    """

    def __init__(self, server):
        self._server = server
        self._parser = None
        self._head_bytes = 0
        self._transport = None
        self._timer = None
        self._handler_task = None
        self._exchange = None
        self._request_head = None
        self._body = bytearray()
        # Bytes that the head and the body of the request take.
        self._request_size = 0
        self._received_at = 0.0
        # Received bytes that the parser has not got yet.
        self._buffer = bytearray()
        self._is_parse_scheduled = False
        self._end_check = None
        # Whether the next request waits until the client reads.
        self._is_next_delayed = False
        self._linger_until = 0.0
        self._idle_since = 0.0
        self._write_resumed = None
        # Whether the last answer was sent and further bytes are discarded.
        self._is_lingering = False
        self.end_cause = None

    @property
    def is_busy(self):
        """Whether a handler is running."""
        return self._handler_task is not None

    @property
    def is_idle(self):
        """Whether it waits for a request."""
        if self._is_next_delayed:
            return not self._has_received
        return not (self.is_busy or self._received_at or self._is_lingering)

    @property
    def is_unfinished(self):
        """Whether a request is received, handled, or its answer under way."""
        return not self.is_idle or self._unsent_bytes > 0

    @property
    def progress(self):
        """How much would be lost with the connection, for comparison.

        Connections of one state are ordered by its beginning.
        """
        if self._is_lingering:
            return 0, self._linger_until
        if self.is_idle:
            return 1, self._idle_since
        return 2, self._received_at

    @property
    def releasable_bytes(self):
        """Bytes that are no longer held after a `cut`."""
        released = len(self._buffer) + self._unsent_bytes
        if not self.is_busy:
            released += self._request_size
        return released

    @property
    def transport(self):
        """The `asyncio.Transport` of the connection."""
        return self._transport

    @property
    def client_ip(self):
        """IP address of the client, empty if the connection is closed."""
        peer = self._transport.get_extra_info("peername")
        return peer[0] if peer else ""

    @property
    def _has_received(self):
        """Whether bytes were received that belong to a later request."""
        return bool(self._buffer or self._parser.trailing_data[0])

    @property
    def _unsent_bytes(self):
        return self._transport.get_write_buffer_size()

    def connection_made(self, transport):
        """Start to wait for a request; called by the event loop."""
        self._transport = transport
        enable_keepalive(transport)
        self._server.connections.add(self)
        self._become_idle()
        self._server.budget.add(self)

    def data_received(self, data):
        """Parse received bytes; called by the event loop."""
        if self._is_lingering:
            return
        self._buffer += data
        if not self._received_at:
            self._start_receiving()
        self._parse_some()

    def eof_received(self):
        """Close the connection; called when the client has closed its end."""
        return False

    def connection_lost(self, error):
        """Cancel the handler; called by the event loop."""
        self._server.connections.discard(self)
        self._server.budget.remove(self)
        self._buffer.clear()
        self._cancel_timer()
        self._cancel_end_check()
        self._wake_writers()
        if self._handler_task is not None:
            self._record_end(EndCause.CLIENT_CLOSED)
            self._handler_task.cancel()

    def pause_writing(self):
        """Make writers wait; called while the send buffer is full."""
        self._write_resumed = asyncio.get_running_loop().create_future()
        set_user_timeout(self._transport, CLIENT_USER_TIMEOUT_MILLISECONDS)

    def resume_writing(self):
        """Let writers go on; called when the send buffer has room."""
        self._wake_writers()
        set_user_timeout(self._transport, USER_TIMEOUT_MILLISECONDS)
        if self._is_next_delayed:
            self._is_next_delayed = False
            self._begin_next_request()
        self._record_held()

    def _wake_writers(self):
        if self._write_resumed is not None and not self._write_resumed.done():
            self._write_resumed.set_result(None)
        self._write_resumed = None

    def send(self, event):
        """Send one `h11` event of the response."""
        if self._transport.is_closing():
            return
        data = self._parser.send(event)
        if data:
            self._transport.write(data)
            self._record_held()

    async def wait_until_writable(self, deadline=None):
        """Wait until the transport's send buffer has room.

        Parameters
        ----------
        deadline : float, optional
            Time on the event loop's clock.

        Raises
        ------
        TransportTimeoutError
            If the client has not made room by the deadline.
        """
        if self._write_resumed is None:
            return
        try:
            async with asyncio.timeout_at(deadline):
                await asyncio.shield(self._write_resumed)
        except TimeoutError:
            raise TransportTimeoutError(
                "the client read nothing before the deadline",
                "read the answer as it arrives",
            ) from None

    def close(self):
        """Close the connection after all buffered data was sent."""
        self._transport.close()

    def abort(self, cause=EndCause.HOST_STOPPED):
        """Close the connection at once; buffered data is discarded.

        Parameters
        ----------
        cause : EndCause
            Why, for the log if a request remains unanswered.
        """
        self._record_end(cause)
        self._transport.abort()

    def end_request(self):
        """End a request without an answer, as the process is about to end.

        A handler is cancelled, and answers if it can; a request that was not
        received completely is refused. A response that has begun goes on.
        """
        if self._transport.is_closing() or self._is_lingering:
            return
        if self.is_busy:
            if not self._exchange.is_started:
                self._exchange.must_close = True
                self._handler_task.cancel()
        elif not self.is_idle:
            self._reject(503, RETRY_AFTER_CUT)

    def cut(self):
        """Close the connection for a bound on what clients may hold.

        A request that is handled gets its answer, one that was not received
        completely is refused.
        """
        self._buffer.clear()
        if self._transport.is_closing():
            return
        if self.is_busy:
            self._exchange.must_close = True
            self._pause_reading()
            self._record_held()
        elif self.is_idle or self._is_lingering or self._unsent_bytes:
            self._transport.abort()
        else:
            self._reject(503, RETRY_AFTER_CUT)

    def _record_end(self, cause):
        """Log why a request remains without a complete answer.

        The handler itself logs requests whose client has closed the
        connection.
        """
        if self.end_cause is not None:
            return
        self.end_cause = cause
        if cause is EndCause.CLIENT_CLOSED or not self.is_unfinished:
            return
        exchange = self._exchange
        _LOG.warning(
            "answer_incomplete",
            extra={
                "request": exchange.request_id if exchange else "",
                "cause": str(cause),
                "is_started": bool(exchange and exchange.is_started),
                "is_handled": self.is_busy,
                "unsent_bytes": self._unsent_bytes,
            },
        )
        self._server.count_incomplete(cause)

    def _become_idle(self):
        """Wait for the first byte of the next request."""
        self._forget_request()
        self._exchange = None
        self._received_at = 0.0
        self._idle_since = asyncio.get_running_loop().time()
        self._set_timer(self._server.limits().idle_seconds, self._end_idle)

    def _forget_request(self):
        """Release what was received of a request."""
        self._request_head = None
        self._request_size = 0
        self._body = bytearray()

    def _end_idle(self):
        """Close an idle connection unless the limit was raised meanwhile."""
        now = asyncio.get_running_loop().time()
        due_at = self._idle_since + self._server.limits().idle_seconds
        if now < due_at:
            self._set_timer(due_at - now, self._end_idle)
        else:
            self.close()

    def _start_receiving(self):
        """Begin a request under the limits that are in force now."""
        limits = self._server.limits()
        self._received_at = asyncio.get_running_loop().time()
        self._set_timer(
            limits.receive_timeout_seconds, lambda: self._reject(408)
        )
        if self._parser is None or limits.head_bytes != self._head_bytes:
            self._replace_parser(limits.head_bytes)

    def _parse_some(self):
        """Parse received bytes, and let other connections have their turn."""
        try:
            self._parse()
        except h11.RemoteProtocolError as error:
            self._reject(error.error_status_hint)
        self._record_held()
        self._control_reading()

    def _parse_later(self):
        """Go on to parse once the event loop has served others."""
        if not self._is_parse_scheduled:
            self._is_parse_scheduled = True
            asyncio.get_running_loop().call_soon(self._parse_scheduled)

    def _parse_scheduled(self):
        self._is_parse_scheduled = False
        if not self._transport.is_closing() and not self._is_lingering:
            self._parse_some()

    def _feed_parser(self):
        """Give the parser a part of what was received."""
        data = bytes(self._buffer[:PARSE_BYTES])
        del self._buffer[:PARSE_BYTES]
        self._parser.receive_data(data)

    def _control_reading(self):
        """Read no further while the client has sent too much ahead."""
        if self._transport.is_closing() or self._is_lingering:
            return
        limit = self._server.budget.bounds.max_connection_bytes
        if len(self._buffer) > limit:
            self._pause_reading()
        elif self._end_check is not None and 2 * len(self._buffer) <= limit:
            self._cancel_end_check()
            self._transport.resume_reading()

    def _pause_reading(self):
        if self._end_check is None:
            self._transport.pause_reading()
            self._check_end()

    def _check_end(self):
        """Notice that the client has left, though nothing is read."""
        if has_peer_closed(self._transport):
            self.abort(EndCause.CLIENT_CLOSED)
            return
        loop = asyncio.get_running_loop()
        self._end_check = loop.call_later(END_CHECK_SECONDS, self._check_end)

    def _cancel_end_check(self):
        if self._end_check is not None:
            self._end_check.cancel()
            self._end_check = None

    def _record_held(self):
        """Record the bytes that are held for this connection."""
        held = len(self._buffer) + self._request_size + self._unsent_bytes
        self._server.budget.record(self, held)

    def _replace_parser(self, head_bytes):
        """Use another limit on the head; keeps what was received."""
        received = (
            b"" if self._parser is None else self._parser.trailing_data[0]
        )
        self._head_bytes = head_bytes
        self._parser = h11.Connection(
            h11.SERVER, max_incomplete_event_size=head_bytes
        )
        if received:
            self._parser.receive_data(received)

    def _parse(self):
        """Parse up to the end of a request, or some events of it."""
        for _ in range(MAX_PARSE_EVENTS):
            if self._handler_task is not None:
                return
            event = self._parser.next_event()
            if event is h11.NEED_DATA and self._buffer:
                self._feed_parser()
            elif event in (h11.NEED_DATA, h11.PAUSED):
                if self._parser.they_are_waiting_for_100_continue:
                    self.send(
                        h11.InformationalResponse(status_code=100, headers=[])
                    )
                return
            elif isinstance(event, h11.Request):
                self._store_head(event)
            elif isinstance(event, h11.Data):
                if not self._append_body(event.data):
                    return
            elif isinstance(event, h11.EndOfMessage):
                self._dispatch()
                return
            else:
                self.close()
                return
        self._parse_later()

    def _store_head(self, event):
        self._request_head = event
        fields = event.headers.raw_items()
        size = sum(len(name) + len(value) for name, value in fields)
        self._request_size = size + FIELD_OVERHEAD_BYTES * len(fields)
        self._body = bytearray()

    def _append_body(self, data):
        if len(self._body) + len(data) > self._server.limits().body_bytes:
            self._reject(413)
            return False
        self._body += data
        self._request_size += len(data)
        return True

    def _dispatch(self):
        self._cancel_timer()
        head = self._request_head
        request = Request(
            head.method,
            head.target,
            head.headers.raw_items(),
            bytes(self._body),
            self._received_at,
        )
        self._body = bytearray()
        exchange = Exchange(self)
        exchange.must_close = self._server.is_closing
        self._exchange = exchange
        loop = asyncio.get_running_loop()
        self._handler_task = loop.create_task(self._handle(request, exchange))

    async def _handle(self, request, exchange):
        try:
            await self._server.handler(request, exchange)
        except asyncio.CancelledError:
            if asyncio.current_task().cancelling():
                if not exchange.is_ended:
                    exchange.abort_response(EndCause.HANDLER_CANCELLED)
                    return
            else:
                # Something that the handler waited for was cancelled, not the
                # handler itself: its client still waits for an answer.
                self._log_failure(exchange)
        except Exception:
            self._log_failure(exchange)
        finally:
            self._handler_task = None
        self._finish(exchange)

    def _log_failure(self, exchange):
        _LOG.exception(
            "request_handler_failed", extra={"request": exchange.request_id}
        )

    def _finish(self, exchange):
        """Complete the response if the handler has not."""
        if not exchange.is_ended and not exchange.is_started:
            self._answer_failure(exchange)
        if not exchange.is_ended:
            exchange.abort_response(EndCause.HANDLER_FAILED)
            return
        self._prepare_next_request(exchange)

    def _answer_failure(self, exchange):
        exchange.must_close = True
        try:
            exchange.answer(500)
        except h11.LocalProtocolError:
            self._log_failure(exchange)

    def _prepare_next_request(self, exchange):
        """Prepare a keep-alive connection for its next request."""
        parser = self._parser
        is_reusable = (
            parser.our_state is h11.DONE and parser.their_state is h11.DONE
        )
        if self._transport.is_closing():
            return
        if exchange.must_close or not is_reusable:
            self._linger()
            return
        if self._write_resumed is not None:
            # Further answers wait until the client has read this one.
            self._is_next_delayed = True
        else:
            self._begin_next_request()

    def _begin_next_request(self):
        self._parser.start_next_cycle()
        self._become_idle()
        if self._has_received:
            self._start_receiving()
            self._parse_some()
        else:
            self._record_held()

    def _reject(self, status, headers=()):
        """Answer an unacceptable request with an error status and close."""
        if self._parser.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            exchange = Exchange(self)
            exchange.must_close = True
            exchange.answer(status, headers=headers)
        self._linger()

    def _linger(self):
        """Close after the client has closed its end, or after a while."""
        self._is_lingering = True
        self._forget_request()
        self._cancel_end_check()
        loop = asyncio.get_running_loop()
        self._linger_until = loop.time() + MAX_LINGER_SECONDS
        if not self._transport.is_closing():
            self._transport.resume_reading()
        self._record_held()
        self._set_timer(LINGER_SECONDS, self._end_lingering)
        if self._transport.can_write_eof():
            self._transport.write_eof()

    def _end_lingering(self):
        """Close the connection once the answer has left the send buffer."""
        now = asyncio.get_running_loop().time()
        if not self._unsent_bytes:
            self.close()
        elif now < self._linger_until:
            self._set_timer(LINGER_SECONDS, self._end_lingering)
        else:
            self._server.budget.count(self, CutCause.UNREAD)
            self._transport.abort()

    def _set_timer(self, seconds, callback):
        self._cancel_timer()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(seconds, callback)

    def _cancel_timer(self):
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
