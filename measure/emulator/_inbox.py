"""What has arrived over an emulated connection and isn't read yet."""

import asyncio
import collections

from apricotseam.http1 import InterruptedReadError
from apricotseam.http1 import TransportTimeoutError


class Inbox:
    """Heads, data and errors in the order of their arrival.

    Parameters
    ----------
    address : str
        Address of the sender, for messages of errors.
    """

    def __init__(self, address):
        self._loop = asyncio.get_running_loop()
        self._address = address
        self._received = collections.deque()
        self._waiter = None

    def put(self, items):
        """Add what has arrived."""
        self._received.extend(items)
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def interrupt(self):
        """Make a pending read raise `InterruptedReadError`."""
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_exception(
                InterruptedReadError("the read was interrupted", "read again")
            )

    async def next(self, deadline):
        """Return the next item, or raise it if it is an error.

        Raises
        ------
        TransportTimeoutError
            If nothing has arrived by a loop time in seconds.
        """
        while not self._received:
            self._waiter = self._loop.create_future()
            timer = self._loop.call_at(deadline, self._time_out, self._waiter)
            try:
                await self._waiter
            finally:
                timer.cancel()
                self._waiter = None
        item = self._received.popleft()
        if isinstance(item, Exception):
            raise item
        return item

    def _time_out(self, waiter):
        if not waiter.done():
            waiter.set_exception(
                TransportTimeoutError(
                    f"{self._address} sent nothing before the deadline",
                    "retry the call if it is idempotent",
                )
            )


class InboxReader:
    """Base of connections whose answer is read from an `Inbox`.

    Parameters
    ----------
    address : str
        Address of the sender, for messages of errors.
    """

    def __init__(self, address):
        self._inbox = Inbox(address)

    async def head(self, deadline):
        """Return the `ResponseHead`."""
        return await self._inbox.next(deadline)

    async def read(self, deadline):
        """Return the next bytes of the body, empty at its end."""
        return await self._inbox.next(deadline)

    def keep(self, size_bytes):
        """Ignore how much of the answer its reader holds."""

    async def read_all(self, deadline, limit):
        """Return the complete body."""
        parts = []
        while data := await self.read(deadline):
            parts.append(data)
        return b"".join(parts)
