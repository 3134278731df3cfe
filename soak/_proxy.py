"""A loopback TCP proxy that can delay, hold and reset connections."""

import asyncio
import contextlib

# Most bytes that are read, delayed and relayed at a time.
CHUNK_BYTES = 1 << 16


class Direction:
    """Controls the bytes that a proxy relays in one direction.

    Attributes
    ----------
    delay_seconds : float
        Delay of each chunk.
    """

    __slots__ = ("_is_open", "delay_seconds")

    def __init__(self):
        self.delay_seconds = 0.0
        self._is_open = asyncio.Event()
        self._is_open.set()

    def hold(self):
        """Hold back all bytes until `release` is called."""
        self._is_open.clear()

    def release(self):
        """Relay the bytes that were held back, and all later ones."""
        self._is_open.set()

    async def wait_until_open(self):
        """Wait until a chunk may be relayed."""
        if self.delay_seconds:
            await asyncio.sleep(self.delay_seconds)
        await self._is_open.wait()


class Proxy:
    """Relays connections to one upstream address.

    Parameters
    ----------
    address : str
        ``ip:port`` to listen on.
    upstream : str
        ``ip:port`` to connect to.
    """

    def __init__(self, address, upstream):
        self.address = address
        self.upstream = upstream
        self.to_upstream = Direction()
        self.to_client = Direction()
        self._server = None
        self._writers = set()

    async def start(self):
        """Listen; return the proxy."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._accept, host, port)
        return self

    def stop(self):
        """Stop listening and reset all connections."""
        self._server.close()
        self.clear_faults()
        self.reset()

    def reset(self):
        """Reset all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def clear_faults(self):
        """Remove the delays and holds of both directions."""
        for direction in (self.to_upstream, self.to_client):
            direction.delay_seconds = 0.0
            direction.release()

    async def _accept(self, reader, writer):
        self._writers.add(writer)
        upstream_writer = None
        try:
            host, _, port = self.upstream.rpartition(":")
            upstream_reader, upstream_writer = await asyncio.open_connection(
                host, port
            )
            self._writers.add(upstream_writer)
            await self._relay_both(
                (reader, writer), (upstream_reader, upstream_writer)
            )
        except OSError:
            # The client sees a reset, as from a port without a listener.
            writer.transport.abort()
        finally:
            for each in filter(None, (writer, upstream_writer)):
                self._writers.discard(each)
                each.close()

    async def _relay_both(self, client, upstream):
        """Relay both directions until one of them ends.

        Parameters
        ----------
        client, upstream : tuple of StreamReader and StreamWriter
            The two connections.
        """
        loop = asyncio.get_running_loop()
        tasks = {
            loop.create_task(
                self._relay(client[0], upstream[1], self.to_upstream)
            ),
            loop.create_task(
                self._relay(upstream[0], client[1], self.to_client)
            ),
        }
        _, pending = await asyncio.wait(
            tasks, return_when=asyncio.FIRST_COMPLETED
        )
        for task in pending:
            task.cancel()

    async def _relay(self, reader, writer, direction):
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                await direction.wait_until_open()
                writer.write(data)
                await writer.drain()
