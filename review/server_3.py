"""Worker process of a server whose address a supervisor holds open.

``python3 server_3.py FD ID RUNS`` serves the listening socket that it has
inherited under the identity ``ID``, and writes each request that it runs to
the file ``RUNS``. Its answers have no length and end with the connection.
"""

import asyncio
import json
import socket
import sys
import time

BODY_BYTES = 4800
# Pause in the middle of each answer.
PAUSE_SECONDS = 1.0


def make_body(request_id):
    """Return the whole answer to a request."""
    record = {"id": request_id, "state": "returned", "deposit": "paid back"}
    text = json.dumps(record)
    return (text * (BODY_BYTES // len(text) + 1))[:BODY_BYTES].encode()


async def read_request(reader):
    """Return the method, path and headers of a request."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    method, path, _ = first.split(" ")
    pairs = [line.partition(":") for line in lines if line]
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    await reader.readexactly(int(headers.get("content-length", 0)))
    return method, path, headers


class Worker:
    """Serves requests under one identity.

    Parameters
    ----------
    identity : str
        Identity of the server.
    runs : str
        File to which requests are written as they begin to run.
    """

    def __init__(self, identity, runs):
        self._identity = identity
        self._runs = runs

    async def serve(self, reader, writer):
        """Answer the requests of one connection."""
        try:
            while True:
                method, path, headers = await read_request(reader)
                if await self._answer(path, headers, writer):
                    break
        except (EOFError, ConnectionError):
            pass
        writer.close()

    async def _answer(self, path, headers, writer):
        """Answer one request; return whether the connection ends."""
        if path == "/healthz":
            writer.write(
                "HTTP/1.1 200 OK\r\n"
                f"Apricotseam-Instance-Id: {self._identity}\r\n"
                "Content-Length: 0\r\n\r\n".encode()
            )
            return False
        expected = headers.get("apricotseam-expect-instance", self._identity)
        if expected != self._identity:
            writer.write(
                "HTTP/1.1 421 Misdirected Request\r\n"
                "Apricotseam-Not-Executed: 1\r\n"
                "Content-Length: 0\r\n\r\n".encode()
            )
            return False
        request_id = headers["apricotseam-request-id"]
        with open(self._runs, "a") as runs:
            runs.write(f"{time.monotonic():.3f} {request_id}\n")
        body = make_body(request_id)
        writer.write(
            "HTTP/1.1 200 OK\r\n"
            f"Apricotseam-Request-Id: {request_id}\r\n"
            f"Apricotseam-Server-Signature: {self._identity}.{request_id}\r\n"
            "Connection: close\r\n\r\n".encode()
        )
        half = len(body) // 2
        writer.write(body[:half])
        await writer.drain()
        await asyncio.sleep(PAUSE_SECONDS)
        writer.write(body[half:])
        await writer.drain()
        return True


async def main(descriptor, identity, runs):
    """Serve until the process is killed."""
    worker = Worker(identity, runs)
    sock = socket.socket(fileno=int(descriptor))
    server = await asyncio.start_server(worker.serve, sock=sock)
    print("serving", flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))
