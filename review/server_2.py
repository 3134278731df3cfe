"""Server of the scripts of the second review, in a process of its own.

It takes its options as JSON in its only argument, and reports what it does as
lines of JSON on standard output. It speaks what PROTOCOL.md says of servers.
From a SIGUSR1 on, it says in all answers that it leaves.
"""

import asyncio
import json
import os
import signal
import sys

SIGNATURE = "Apricotseam-Server-Signature: 3e1b.07.5a2.600.0.c9f2a4d1"
EVENT_SECONDS = 0.05
# How long work stalls that depends on a dead server.
STALL_SECONDS = 3.0


def report(event, **fields):
    """Write a line of JSON."""
    print(json.dumps({"event": event, **fields}), flush=True)


class Server:
    """One server.

    Options: ``identity``, ``address``, ``born``; ``body`` is the length of an
    answer, written in two halves ``pause`` seconds apart; ``unframed`` is the
    share of the answers that have no length. Servers with a ``kind`` of accelerator are
    engines with ``size_mb`` of memory and ``layers``, ``layer_mb`` each.
    """

    def __init__(self, options):
        self._options = options
        self._sequence = 0
        self._fence = 0
        self._layers = options.get("layers")
        self._busy = False
        self._is_leaving = False
        # Grows to 1 until the next answer without a length.
        self._answers = 0.0

    async def run(self):
        """Serve until killed."""
        ip, port = self._options["address"].split(":")
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGUSR1, self._leave)
        server = await asyncio.start_server(self._serve, ip, int(port))
        print("listening", flush=True)
        async with server:
            await server.serve_forever()

    def _leave(self):
        self._is_leaving = True

    def _own_lines(self):
        """Return the headers of all answers."""
        return ["Server-Leaving: 1"] if self._is_leaving else []

    async def _serve(self, reader, writer):
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, EOFError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    async def _serve_one(self, reader, writer):
        """Serve one request; return whether the connection stays open."""
        head = await reader.readuntil(b"\r\n\r\n")
        request_line, *lines = head.decode("latin-1").split("\r\n")
        method, path, _ = request_line.split(" ")
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        length = int(headers.get("content-length", "0"))
        body = await reader.readexactly(length)
        expected = headers.get("apricotseam-expect-instance")
        if expected and expected != self._options["identity"]:
            return self._refuse(writer, headers, 421)
        if path == "/v1/report":
            return self._answer_json(writer, 200, self._report())
        if path == "/v1/order":
            return self._answer_order(writer, json.loads(body))
        if "apricotseam-request-id" not in headers:
            return self._refuse(writer, headers, 400)
        return await self._run_request(writer, path, headers)

    def _head(self, request_id):
        return [
            "HTTP/1.1 200 OK",
            f"Apricotseam-Request-Id: {request_id}",
            SIGNATURE,
            *self._own_lines(),
        ]

    def _refuse(self, writer, headers, status, at_fault=""):
        lines = [f"HTTP/1.1 {status} Refused", "Apricotseam-Not-Executed: 1"]
        request_id = headers.get("apricotseam-request-id")
        if request_id:
            lines.append(f"Apricotseam-Request-Id: {request_id}")
        if at_fault:
            lines.append(f"At-Server: {at_fault}")
        identity = self._options["identity"]
        lines.append(f"Apricotseam-Instance-Id: {identity}")
        lines += ["Content-Length: 0", *self._own_lines()]
        writer.write("\r\n".join([*lines, "", ""]).encode())
        return True

    def _answer_json(self, writer, status, value):
        body = json.dumps(value).encode()
        lines = [
            f"HTTP/1.1 {status} OK",
            "Content-Type: application/json",
            f"Content-Length: {len(body)}",
            *self._own_lines(),
        ]
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        return True

    def _report(self):
        value = {
            "Stage": "unified",
            "Models": [{"Name": "m", "Version": 1, "Adapters": []}],
            "Busy": self._busy,
            "Sequence": self._sequence,
            "Queued": 0,
            "Active": 0,
            "KvUsed": 0,
            "KvTotal": 90000,
            "KvHandles": 0,
            "pace": 1.0,
            "born": self._options["born"],
        }
        if self._layers:
            first, last = self._layers
            value["Layers"] = {"From": first, "Target": last, "Version": 1}
        return value

    def _answer_order(self, writer, order):
        """Take an order to hold layers; it ends the process if too many."""
        fence = order.get("FencingToken", 0)
        expected = order.get("Expected")
        if "kind" not in self._options or order["Op"] != "place":
            return self._answer_json(writer, 400, {})
        if fence < self._fence:
            return self._answer_json(writer, 412, {})
        self._fence = fence
        layers = [order["From"], order["Target"]]
        if layers == self._layers:
            return self._answer_json(writer, 200, {})
        if self._busy or expected not in (None, self._sequence):
            return self._answer_json(writer, 409, {})
        self._sequence += 1
        needed = (layers[1] - layers[0]) * self._options["layer_mb"]
        report(
            "order",
            layers=layers,
            needed_mb=needed,
            size_mb=self._options["size_mb"],
        )
        self._answer_json(writer, 202, {})
        self._busy = True
        share = (layers[1] - layers[0]) / self._options["model_layers"]
        asyncio.get_running_loop().call_later(
            self._options["load_s"] * share, self._load, layers, needed
        )
        return True

    def _load(self, layers, needed):
        if needed > self._options["size_mb"]:
            report("crash", layers=layers)
            sys.stdout.flush()
            # A server that holds more than its memory crashes.
            os._exit(1)
            return
        self._busy = False
        self._layers = layers
        report("layers", layers=layers)

    async def _check_path(self, path):
        """Return a status and the address of the server at fault.

        The status is 200 if all parts of a path are there.
        """
        own, *others = [part.partition("=")[::2] for part in path.split(",")]
        first, _, last = own[1].partition("-")
        if self._layers is None or not (
            self._layers[0] <= int(first) and int(last) <= self._layers[1]
        ):
            return 421, own[0]
        for address, part in others:
            status = await self._check_part(address, part)
            if status != 200:
                return status, address
        return 200, ""

    async def _check_part(self, address, part):
        """Return 200 if another server holds a part of a path."""
        ip, port = address.split(":")
        try:
            async with asyncio.timeout(STALL_SECONDS):
                reader, writer = await asyncio.open_connection(ip, int(port))
                writer.write(b"GET /v1/report HTTP/1.1\r\nHost: x\r\n\r\n")
                await reader.readuntil(b"\r\n\r\n")
                held = json.loads(await reader.readuntil(b"}}")).get("Layers")
                writer.close()
        except (OSError, EOFError, TimeoutError):
            # What depends on a dead server stalls for a while.
            await asyncio.sleep(STALL_SECONDS)
            return 503
        first, _, last = part.partition("-")
        if held and held["From"] <= int(first) and int(last) <= held["Target"]:
            return 200
        return 421

    async def _stream(self, writer, headers, lines):
        path = headers.get("apricotseam-hop-count", "")
        status, at_fault = await self._check_path(path)
        if status != 200:
            return self._refuse(writer, headers, status, at_fault)
        request_id = headers["apricotseam-request-id"]
        report("run", id=request_id, chain=path)
        lines.append("Content-Type: text/event-stream")
        lines.append("Transfer-Encoding: chunked")
        writer.write("\r\n".join([*lines, "", ""]).encode())
        after = int(headers.get("last-event-id", "0"))
        for number in range(after + 1, self._options["events"] + 1):
            await asyncio.sleep(EVENT_SECONDS)
            event = f"id: {number}\ndata: t{number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        return True

    async def _run_request(self, writer, path, headers):
        request_id = headers["apricotseam-request-id"]
        if "kind" in self._options:
            return await self._stream(writer, headers, self._head(request_id))
        report(
            "run",
            id=request_id,
            path=path,
            tenant=headers.get("apricotseam-tenant"),
            deadline=headers.get("apricotseam-deadline-ms"),
            chain=headers.get("apricotseam-hop-count"),
        )
        lines = self._head(request_id)
        size = self._options.get("body", 800)
        body = request_id.encode().ljust(size, b"-")
        self._answers += self._options.get("unframed", 0.0)
        is_framed = self._answers < 1.0
        if not is_framed:
            self._answers -= 1.0
        if is_framed:
            lines.append(f"Content-Length: {len(body)}")
        else:
            lines.append("Connection: close")
        writer.write("\r\n".join([*lines, "", ""]).encode())
        writer.write(body[: size // 2])
        await writer.drain()
        await asyncio.sleep(self._options.get("pause", 0.0))
        writer.write(body[size // 2 :])
        await writer.drain()
        report("done", id=request_id)
        return is_framed


if __name__ == "__main__":
    asyncio.run(Server(json.loads(sys.argv[1])).run())
