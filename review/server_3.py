"""Server of the case 11, a process of its own.

``python3 server_3.py ADDRESS ID RUNS [unframed]`` serves an address under the
identity ``ID``, and writes each request that it runs to the file ``RUNS``.
With ``unframed``, some of its answers have no length and end with the
connection.
"""

import asyncio
import json
import sys

BODY_BYTES = 4800
# Pause in the middle of each answer.
PAUSE_SECONDS = 1.0
# One answer of so many has no length, the tenth first.
UNFRAMED_INTERVAL = 20
FIRST_UNFRAMED = 10


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
    has_unframed : bool
        Whether some of its answers have no length.
    """

    def __init__(self, identity, runs, has_unframed):
        self._identity = identity
        self._runs = runs
        self._has_unframed = has_unframed
        self._count = 0

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
        self._count += 1
        place = self._count % UNFRAMED_INTERVAL
        is_unframed = self._has_unframed and place == FIRST_UNFRAMED
        kind = "unframed" if is_unframed else "framed"
        with open(self._runs, "a") as runs:
            runs.write(f"{request_id}, {kind}\n")
        body = make_body(request_id)
        writer.write(
            "HTTP/1.1 200 OK\r\n"
            f"Apricotseam-Request-Id: {request_id}\r\n"
            f"Apricotseam-Server-Signature: {self._identity}.{request_id}\r\n"
            f"{end_header(body, is_unframed)}\r\n\r\n".encode()
        )
        half = len(body) // 2
        writer.write(body[:half])
        await writer.drain()
        await asyncio.sleep(PAUSE_SECONDS)
        writer.write(body[half:])
        await writer.drain()
        return is_unframed


def end_header(body, is_unframed):
    """Return the header that tells how an answer ends."""
    if is_unframed:
        return "Connection: close"
    return f"Content-Length: {len(body)}"


async def main(address, identity, runs, *options):
    """Serve until the process is killed."""
    worker = Worker(identity, runs, "unframed" in options)
    ip, _, port = address.rpartition(":")
    server = await asyncio.start_server(worker.serve, ip, int(port))
    print("serving", flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))
