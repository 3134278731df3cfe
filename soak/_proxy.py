"""A loopback proxy whose connections can be harmed."""

import asyncio
import contextlib

CHUNK_BYTES = 1 << 16


class Direction:
    """What happens to the bytes of one direction."""

    __slots__ = ("_is_open", "delay_seconds")

    def __init__(self):
        self.delay_seconds = 0.0
        self._is_open = asyncio.Event()
        self._is_open.set()

    def hold(self):
        """Keep all bytes back from now on."""
        self._is_open.clear()

    def release(self):
        """Let the bytes that were kept back go on."""
        self._is_open.set()

    async def passed(self):
        """Wait until a piece may go on."""
        if self.delay_seconds:
            await asyncio.sleep(self.delay_seconds)
        await self._is_open.wait()


class Proxy:
    """Passes connections on to one address.

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
        self.there = Direction()
        self.back = Direction()
        self._server = None
        self._writers = set()

    async def start(self):
        """Listen; return the proxy."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._accept, host, port)
        return self

    def stop(self):
        """Close everything."""
        self._server.close()
        self.heal()
        self.reset()

    def reset(self):
        """Reset all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def heal(self):
        """Harm nothing from now on."""
        for direction in (self.there, self.back):
            direction.delay_seconds = 0.0
            direction.release()

    async def _accept(self, reader, writer):
        self._writers.add(writer)
        upstream = None
        try:
            host, _, port = self.upstream.rpartition(":")
            far_reader, upstream = await asyncio.open_connection(host, port)
            self._writers.add(upstream)
            await self._pump_both((reader, writer), (far_reader, upstream))
        except OSError:
            # The caller sees a reset, as from a port that nobody has.
            writer.transport.abort()
        finally:
            for each in filter(None, (writer, upstream)):
                self._writers.discard(each)
                each.close()

    async def _pump_both(self, near, far):
        """Pass bytes on until one side ends."""
        loop = asyncio.get_running_loop()
        tasks = {
            loop.create_task(self._pump(near[0], far[1], self.there)),
            loop.create_task(self._pump(far[0], near[1], self.back)),
        }
        _, rest = await asyncio.wait(
            tasks, return_when=asyncio.FIRST_COMPLETED
        )
        for task in rest:
            task.cancel()

    async def _pump(self, reader, writer, direction):
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                await direction.passed()
                writer.write(data)
                await writer.drain()
