"""Connection of a client to the server."""

import asyncio
import logging

import h11

from apricotseam.http1._exchange import EndCause
from apricotseam.http1._exchange import Exchange
from apricotseam.http1._message import Request
from apricotseam.http1._sockets import enable_keepalive

_LOG = logging.getLogger(__name__)


class ServerConnection(asyncio.Protocol):
    """One connection of a client."""

    def __init__(self, server):
        self._server = server
        self._parser = None
        self._transport = None
        self._timer = None
        self._handler_task = None
        self._request_head = None
        self._body_parts = []
        self._body_size = 0
        self._received_at = 0.0
        self._write_resumed = None
        self._is_rejected = False
        self._exchange = None
        # Why the connection ended before its request was answered, or None.
        self.end_cause = None

    @property
    def is_busy(self):
        """Whether a handler is running."""
        return self._handler_task is not None

    def connection_made(self, transport):
        self._transport = transport
        enable_keepalive(transport)
        limits = self._server.limits()
        self._parser = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.head_bytes
        )
        self._server.connections.add(self)
        self._set_timer(limits.idle_seconds)

    def data_received(self, data):
        if self._is_rejected:
            return
        if (
            self._request_head is None
            and self._handler_task is None
            and not self._received_at
        ):
            self._start_receiving()
        try:
            self._parser.receive_data(data)
            if self._handler_task is None:
                self._parse()
        except h11.RemoteProtocolError as error:
            self._reject(error.error_status_hint)

    def eof_received(self):
        return False

    def connection_lost(self, error):
        self._server.connections.discard(self)
        self._cancel_timer()
        if self._write_resumed is not None and not self._write_resumed.done():
            self._write_resumed.set_result(None)
        if self._handler_task is not None:
            self._record_end(EndCause.CLIENT_CLOSED)
            self._handler_task.cancel()

    def pause_writing(self):
        self._write_resumed = asyncio.get_running_loop().create_future()

    def resume_writing(self):
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

    async def wait_until_writable(self):
        """Wait until the transport's send buffer has room."""
        if self._write_resumed is not None:
            await self._write_resumed

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
        unsent_bytes = self._transport.get_write_buffer_size()
        is_unfinished = self.is_busy or self._received_at or unsent_bytes
        if cause is EndCause.CLIENT_CLOSED or not is_unfinished:
            return
        exchange = self._exchange
        _LOG.warning(
            "answer_incomplete",
            extra={
                "request": exchange.request_id if exchange else "",
                "cause": str(cause),
                "is_started": bool(exchange and exchange.is_started),
                "is_handled": self.is_busy,
                "unsent_bytes": unsent_bytes,
            },
        )
        self._server.count_incomplete(cause)

    def _start_receiving(self):
        self._received_at = asyncio.get_running_loop().time()
        self._set_timer(self._server.limits().receive_timeout_seconds)

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
            exchange.abort_response(EndCause.HANDLER_CANCELLED)
            return
        except Exception:
            _LOG.exception(
                "request_handler_failed",
                extra={"request": exchange.request_id},
            )
            if not exchange.is_started:
                exchange.must_close = True
                exchange.answer(500)
        finally:
            self._handler_task = None
        if not exchange.is_ended:
            exchange.abort_response(EndCause.HANDLER_FAILED)
            return
        self._prepare_next_request(exchange)

    def _prepare_next_request(self, exchange):
        """Prepare a keep-alive connection for its next request."""
        parser = self._parser
        is_reusable = (
            parser.our_state is h11.DONE and parser.their_state is h11.DONE
        )
        if self._transport.is_closing():
            return
        if exchange.must_close or not is_reusable:
            self.close()
            return
        parser.start_next_cycle()
        self._request_head = None
        self._exchange = None
        self._received_at = 0.0
        self._set_timer(self._server.limits().idle_seconds)
        if parser.trailing_data[0]:
            self._start_receiving()
            try:
                self._parse()
            except h11.RemoteProtocolError as error:
                self._reject(error.error_status_hint)

    def _reject(self, status):
        """Answer an unacceptable request with an error status and close."""
        self._is_rejected = True
        self._cancel_timer()
        if self._parser.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            exchange = Exchange(self)
            exchange.must_close = True
            exchange.answer(status)
        self._transport.close()

    def _set_timer(self, seconds):
        self._cancel_timer()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(seconds, self._time_out)

    def _cancel_timer(self):
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _time_out(self):
        """Close a connection that is idle or whose request is too slow."""
        if self._received_at:
            self._reject(408)
        else:
            self.close()
