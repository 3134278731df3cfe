"""Link to a server that can be cut and heal again, for the case 11."""

import asyncio
import contextlib

import harness_3


class Link:
    """Proxy on the address of a server.

    While it is cut, neither bytes nor the ends of connections pass, and new
    connections hang. What was under way passes as it heals.

    Parameters
    ----------
    server_address : str
        ``ip:port`` at which the server itself listens.
    """

    def __init__(self, server_address):
        self.address = harness_3.free_address()
        self._server_address = server_address
        self._is_whole = asyncio.Event()
        self._is_whole.set()
        self._listener = None

    async def start(self):
        """Listen."""
        ip, _, port = self.address.rpartition(":")
        self._listener = await asyncio.start_server(
            self._connect, ip, int(port)
        )

    def stop(self):
        """Stop to listen."""
        if self._listener is not None:
            self._listener.close()

    def cut(self):
        """Let nothing pass from now on."""
        self._is_whole.clear()

    def heal(self):
        """Let everything pass again."""
        self._is_whole.set()

    async def _connect(self, reader, writer):
        await self._is_whole.wait()
        ip, _, port = self._server_address.rpartition(":")
        try:
            upstream = await asyncio.open_connection(ip, int(port))
        except ConnectionError:
            writer.transport.abort()
            return
        # The event loop reports connections that are open at its end.
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(
                self._pass_on(reader, upstream[1]),
                self._pass_on(upstream[0], writer),
            )

    async def _pass_on(self, reader, writer):
        """Pass bytes on, then the end of the connection."""
        try:
            while data := await reader.read(65536):
                await self._is_whole.wait()
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
        await self._is_whole.wait()
        writer.close()
