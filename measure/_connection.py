"""HTTP connection of the load tool."""

import asyncio


class HttpConnection:
    """The little of HTTP/1.1 that the load needs, kept cheap."""

    def __init__(self, reader, writer):
        self._reader = reader
        self._writer = writer

    @classmethod
    async def open(cls, address):
        """Connect to ``ip:port``."""
        host, port = address.rsplit(":", 1)
        return cls(*await asyncio.open_connection(host, int(port)))

    def close(self):
        """Close the connection."""
        self._writer.close()

    async def send(self, method, path, body, key):
        """Send a request; return the status and the headers."""
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: measure\r\n"
            f"Authorization: Bearer {key}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        self._writer.write(head.encode() + body)
        status = int((await self._reader.readline()).split()[1])
        headers = {}
        while line := (await self._reader.readline()).strip():
            name, _, value = line.partition(b":")
            headers[name.lower()] = value.strip()
        return status, headers

    async def chunks(self, headers):
        """Yield the parts of a body as they come."""
        if headers.get(b"transfer-encoding") != b"chunked":
            size = int(headers.get(b"content-length", 0))
            yield await self._reader.readexactly(size)
            return
        while size := int(await self._reader.readline(), 16):
            part = await self._reader.readexactly(size + 2)
            yield part[:-2]
        await self._reader.readline()
