"""HTTP connection of the load generator."""

import asyncio


class HttpConnection:
    """Connection with the subset of HTTP/1.1 that the load generator needs.

    It does little work for each request, to use little processor time.
    """

    def __init__(self, reader, writer):
        self._reader = reader
        self._writer = writer

    @classmethod
    async def open(cls, address):
        """Return a connection to an address of the form ``ip:port``."""
        host, port = address.rsplit(":", 1)
        return cls(*await asyncio.open_connection(host, int(port)))

    def close(self):
        """Close the connection."""
        self._writer.close()

    async def send(self, method, path, body, key):
        """Send a request and return the status and headers of the response.

        Parameters
        ----------
        method, path : str
            Method and path of the request.
        body : bytes
            Body of the request.
        key : str
            API key, sent as a bearer token.

        Returns
        -------
        (int, dict of bytes to bytes)
            Status and headers; the names of headers are in lower case.
        """
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
        """Yield the chunks of the response body as they arrive.

        Parameters
        ----------
        headers : dict of bytes to bytes
            Headers of the response, as returned by `send`.
        """
        if headers.get(b"transfer-encoding") != b"chunked":
            size = int(headers.get(b"content-length", 0))
            yield await self._reader.readexactly(size)
            return
        while size := int(await self._reader.readline(), 16):
            chunk = await self._reader.readexactly(size + 2)
            yield chunk[:-2]
        await self._reader.readline()
