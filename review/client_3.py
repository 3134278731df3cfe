"""Client of the cases 11 to 15, which reads an answer to its very end."""

import asyncio
import socket

from harness_3 import API_KEY
from harness_3 import HOST_NAME


class Answer:
    """What a client got: status, headers and body, and how it ended.

    ``status`` is 0 if the connection ended before the head of an answer.
    ``is_whole`` is whether the answer ended as its framing says.
    """

    __slots__ = ("body", "headers", "is_whole", "status")

    def __init__(self, status=0, headers=(), body=b"", is_whole=False):
        self.status = status
        self.headers = dict(headers)
        self.body = body
        self.is_whole = is_whole

    def __str__(self):
        end = "whole" if self.is_whole else "not whole"
        return f"status {self.status}, {len(self.body)} bytes, {end}"


class Client:
    """One kept connection of a client.

    Parameters
    ----------
    address : str
        ``ip:port`` of the host.
    """

    def __init__(self, address):
        self._address = address
        self._socket = None
        self._received = b""

    async def open(self):
        """Connect to the host."""
        self._socket = socket.socket()
        self._socket.setblocking(False)
        ip, _, port = self._address.rpartition(":")
        loop = asyncio.get_running_loop()
        await loop.sock_connect(self._socket, (ip, int(port)))

    def close(self):
        """Close the connection."""
        if self._socket is not None:
            self._socket.close()

    async def send(self, method, path, request_id, deadline_ms, **options):
        """Send one request.

        Parameters
        ----------
        method, path, request_id : str
            Method, path and identifier of the request.
        deadline_ms : int
            How long the client waits.
        **options
            ``body``, and ``headers``, a dict of further ones.
        """
        body = options.get("body", b"")
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST_NAME}",
            f"Apricotseam-Request-Id: {request_id}",
            f"Apricotseam-Deadline-Ms: {deadline_ms}",
            f"Apricotseam-Key: {API_KEY}",
        ]
        headers = options.get("headers", {})
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        head = "\r\n".join(lines) + "\r\n\r\n"
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(self._socket, head.encode() + body)

    async def receive(self, seconds):
        """Return the `Answer`, or what has come of it in some seconds."""
        answer = Answer()
        try:
            async with asyncio.timeout(seconds):
                await self._receive_into(answer)
        except (TimeoutError, OSError, EOFError):
            pass
        return answer

    async def _receive_into(self, answer):
        head = await self._read_until(b"\r\n\r\n")
        status_line, *lines = head.decode("latin-1").split("\r\n")
        answer.status = int(status_line.split(" ")[1])
        pairs = [line.partition(":") for line in lines if line]
        answer.headers = {
            name.lower(): value.strip() for name, _, value in pairs
        }
        if "content-length" in answer.headers:
            size = int(answer.headers["content-length"])
            while len(answer.body) < size:
                answer.body += await self._read_some(size - len(answer.body))
        elif "chunked" in answer.headers.get("transfer-encoding", ""):
            while size := int(await self._read_until(b"\r\n"), 16):
                end = len(answer.body) + size
                while len(answer.body) < end:
                    rest = end - len(answer.body)
                    answer.body += await self._read_some(rest)
                await self._read_until(b"\r\n")
            await self._read_until(b"\r\n")
        answer.is_whole = True

    async def _read_until(self, mark):
        while mark not in self._received:
            self._received += await self._read_socket()
        found, _, self._received = self._received.partition(mark)
        return found

    async def _read_some(self, size):
        if not self._received:
            self._received = await self._read_socket()
        found, self._received = self._received[:size], self._received[size:]
        return found

    async def _read_socket(self):
        loop = asyncio.get_running_loop()
        data = await loop.sock_recv(self._socket, 65536)
        if not data:
            raise EOFError("the connection has ended")
        return data
