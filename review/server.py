"""A server of a service, as a process of its own.

It speaks HTTP/1.1 as PROTOCOL.md describes servers: it echoes the request's
id, signs its answers, rejects a request that is meant for another server with
421, and serves one request at a time on a connection. Everything that it does
is appended to a journal, one JSON object a line, so that it survives a kill.
"""

import asyncio
import json
import random
import signal
import sys
import time


class Server:
    """Answers requests in pieces.

    Parameters
    ----------
    options : dict
        ``address``, ``identity``, ``journal``; ``pieces`` and
        ``piece_seconds`` (the body is sent in so many parts, with this pause
        before each); ``unframed``, the share of the answers that have no
        length and end with the connection, between SIGUSR1 and SIGUSR2.
    """

    def __init__(self, options):
        self._options = options
        self._unframed_share = 0.0
        self._journal = open(options["journal"], "a", buffering=1)

    def note(self, event, request_id=""):
        """Append one event to the journal."""
        line = {
            "at": time.monotonic(),
            "server": self._options["identity"],
            "event": event,
            "id": request_id,
        }
        self._journal.write(json.dumps(line) + "\n")

    async def serve(self):
        """Serve until SIGTERM."""
        host, _, port = self._options["address"].rpartition(":")
        server = await asyncio.start_server(self._accept, host, int(port))
        loop = asyncio.get_running_loop()
        stopped = asyncio.Event()
        loop.add_signal_handler(signal.SIGTERM, stopped.set)
        for number, share in (
            (signal.SIGUSR1, self._options["unframed"]),
            (signal.SIGUSR2, 0.0),
        ):
            loop.add_signal_handler(number, self._set_unframed, share)
        self.note("started")
        print("ready", flush=True)
        await stopped.wait()
        self.note("stopped")
        server.close()

    def _set_unframed(self, share):
        self._unframed_share = share

    async def _accept(self, reader, writer):
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _serve_one(self, reader, writer):
        """Serve one request; return whether the connection is kept."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        fields = {}
        for line in head.split("\r\n")[1:]:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(fields.get("content-length", 0)))
        request_id = fields.get("apricotseam-request-id", "")
        expected = fields.get("apricotseam-expect-instance")
        if expected not in (None, self._options["identity"]):
            self.note("misdirected", request_id)
            writer.write(_rejection(request_id))
            await writer.drain()
            return True
        self.note("run", request_id)
        return await self._answer(writer, request_id, body)

    async def _answer(self, writer, request_id, body):
        pieces = answer_pieces(request_id, self._options["pieces"])
        is_unframed = random.random() < self._unframed_share
        if is_unframed:
            self.note("answers without length", request_id)
        lines = [
            "HTTP/1.1 200 OK",
            f"Apricotseam-Request-Id: {request_id}",
            f"Apricotseam-Server-Signature: {self._options['identity']}",
        ]
        if is_unframed:
            lines.append("Connection: close")
        else:
            lines.append(f"Content-Length: {sum(map(len, pieces))}")
        writer.write("\r\n".join([*lines, "", ""]).encode())
        for piece in pieces:
            await asyncio.sleep(self._options["piece_seconds"])
            writer.write(piece)
            await writer.drain()
        self.note("done", request_id)
        return not is_unframed


def answer_pieces(request_id, count):
    """Return the parts of the whole body of an answer."""
    return [f"{request_id}:{n}/{count};".encode() for n in range(1, count + 1)]


def _rejection(request_id):
    return (
        "HTTP/1.1 421 Misdirected Request\r\n"
        f"Apricotseam-Request-Id: {request_id}\r\n"
        "Apricotseam-Not-Executed: 1\r\n"
        "Content-Length: 0\r\n\r\n"
    ).encode()


if __name__ == "__main__":
    asyncio.run(Server(json.loads(sys.argv[1])).serve())
