"""Writes the events of a stream to the caller, each once and in order."""

import asyncio

from apricotseam.http1 import MalformedAnswerError
from apricotseam.platform import returned_headers

# Start of a comment, which keeps a connection open.
COMMENT = b":"


class EventWriter:
    """Writes events of one call, whichever attempt they come from.

    Parameters
    ----------
    context : ForwardingContext
        State shared by all requests.
    call : Call
        The request.
    """

    __slots__ = ("_call", "_context", "_must_be_numbered")

    def __init__(self, context, call):
        self._context = context
        self._call = call
        # Whether the next event has to show where an answer goes on.
        self._must_be_numbered = False

    def begin(self):
        """Prepare for the events of another answer.

        If it goes on after an earlier event, its first one that is no comment
        must have a number; otherwise it may be the text of an error.
        """
        self._must_be_numbered = self._call.last_event is not None

    def accept(self, event):
        """Return whether the caller has not received an event yet.

        Raises
        ------
        MalformedAnswerError
            If the event doesn't show that the answer goes on.
        """
        call = self._call
        if event.number is None:
            if self._must_be_numbered and not _is_comment(event):
                raise MalformedAnswerError(
                    "an answer that should go on with a stream begins without"
                    " the number of an event",
                    "repeat the request if it can be resumed",
                )
            return True
        self._must_be_numbered = False
        if call.last_event is not None and event.number <= call.last_event:
            return False
        call.last_event = event.number
        return True

    async def write(self, answer, event):
        """Write an event, after the head of the answer if it is the first.

        Parameters
        ----------
        answer : ResponseHead
            Head of the answer that the event belongs to.
        event : Event
            An event that `accept` accepted.
        """
        call = self._call
        if not call.exchange.is_started:
            self.start(answer)
            self._record_first_event()
        if event.number is None and not _is_comment(event):
            call.has_unnumbered_events = True
        await call.exchange.write(event.data, call.deadline)
        call.progress_at = asyncio.get_running_loop().time()

    def start(self, answer):
        """Send the head of an answer unless one was sent already."""
        exchange = self._call.exchange
        if not exchange.is_started:
            exchange.start(200, returned_headers(answer), answer.reason)

    def _record_first_event(self):
        call = self._call
        now = asyncio.get_running_loop().time()
        call.first_event_at = now
        kind = call.route.repeat.value
        seconds = now - call.request.received_at
        self._context.metrics.first_byte.labels(kind).observe(seconds)


def _is_comment(event):
    return event.data.startswith(COMMENT)
