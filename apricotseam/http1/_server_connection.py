"""Connection of a client to the server."""

import asyncio
import logging

import h11

from apricotseam.http1._errors import TransportTimeoutError
from apricotseam.http1._exchange import EndCause
from apricotseam.http1._exchange import Exchange
from apricotseam.http1._message import Request
from apricotseam.http1._sockets import CLIENT_USER_TIMEOUT_MILLISECONDS
from apricotseam.http1._sockets import enable_keepalive
from apricotseam.http1._sockets import set_user_timeout
from apricotseam.http1._sockets import USER_TIMEOUT_MILLISECONDS

_LOG = logging.getLogger(__name__)

# Time for which bytes of the client are discarded after the last answer. A
# close before they have arrived would reset the connection, which may destroy
# the answer on its way.
LINGER_SECONDS = 0.5


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
        self._body_parts = []
        self._body_size = 0
        self._received_at = 0.0
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
        return not (self.is_busy or self._received_at or self._is_lingering)

    @property
    def is_unfinished(self):
        """Whether a request is received, handled, or its answer under way."""
        return not self.is_idle or self._unsent_bytes > 0

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
    def _unsent_bytes(self):
        return self._transport.get_write_buffer_size()

    def connection_made(self, transport):
        """Start to wait for a request; called by the event loop."""
        self._transport = transport
        enable_keepalive(transport)
        self._server.connections.add(self)
        self._become_idle()

    def data_received(self, data):
        """Parse received bytes; called by the event loop."""
        if self._is_lingering:
            return
        if not self._received_at:
            self._start_receiving()
        try:
            self._parser.receive_data(data)
            if self._handler_task is None:
                self._parse()
        except h11.RemoteProtocolError as error:
            self._reject(error.error_status_hint)

    def eof_received(self):
        """Close the connection; called when the client has closed its end."""
        return False

    def connection_lost(self, error):
        """Cancel the handler; called by the event loop."""
        self._server.connections.discard(self)
        self._cancel_timer()
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
        self._request_head = None
        self._exchange = None
        self._received_at = 0.0
        self._idle_since = asyncio.get_running_loop().time()
        self._set_timer(self._server.limits().idle_seconds, self._end_idle)

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
        while True:
            event = self._parser.next_event()
            if event in (h11.NEED_DATA, h11.PAUSED):
                if self._parser.they_are_waiting_for_100_continue:
                    self.send(
                        h11.InformationalResponse(status_code=100, headers=[])
                    )
                return
            if isinstance(event, h11.Request):
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

    def _store_head(self, event):
        self._request_head = event
        self._body_parts = []
        self._body_size = 0

    def _append_body(self, data):
        self._body_size += len(data)
        if self._body_size > self._server.limits().body_bytes:
            self._reject(413)
            return False
        self._body_parts.append(bytes(data))
        return True

    def _dispatch(self):
        self._cancel_timer()
        head = self._request_head
        request = Request(
            head.method,
            head.target,
            head.headers.raw_items(),
            b"".join(self._body_parts),
            self._received_at,
        )
        self._body_parts = []
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
                exchange.abort_response(EndCause.HANDLER_CANCELLED)
                return
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
        parser.start_next_cycle()
        self._become_idle()
        if parser.trailing_data[0]:
            self._start_receiving()
            try:
                self._parse()
            except h11.RemoteProtocolError as error:
                self._reject(error.error_status_hint)

    def _reject(self, status):
        """Answer an unacceptable request with an error status and close."""
        if self._parser.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            exchange = Exchange(self)
            exchange.must_close = True
            exchange.answer(status)
        self._linger()

    def _linger(self):
        """Close after the client has closed its end, or after a while."""
        self._is_lingering = True
        self._set_timer(LINGER_SECONDS, self._end_lingering)
        if self._transport.can_write_eof():
            self._transport.write_eof()

    def _end_lingering(self):
        """Close the connection once the answer has left the send buffer."""
        if self._unsent_bytes:
            self._set_timer(LINGER_SECONDS, self._end_lingering)
        else:
            self.close()

    def _set_timer(self, seconds, callback):
        self._cancel_timer()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(seconds, callback)

    def _cancel_timer(self):
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
