"""Plain server of the cases 12 to 15, in the process of the case."""

import asyncio
import json
import time

import harness_3

HEARTBEAT_SECONDS = 1.2


class Run:
    """One request that a server ran, and when it had arrived."""

    __slots__ = ("arrived_at", "request_id")

    def __init__(self, request_id, arrived_at):
        self.request_id = request_id
        self.arrived_at = arrived_at


class PlainServer:
    """Server that answers one request at a time on each connection.

    Parameters
    ----------
    identity, service : str
        Identity, and the service that it belongs to.
    store : StoreStandIn
        Store in which it registers itself.
    slots : int, optional
        Number of requests that it runs at a time.

    Attributes
    ----------
    work_seconds : float
        Time that a request takes.
    body : bytes
        Body of each answer.
    state : str
        State in its entry. All its answers say if it is ``draining``.
    runs : list of Run
        What it ran.
    """

    def __init__(self, identity, service, store, slots=6):
        self.identity = identity
        self.work_seconds = 0.05
        self.body = b"x" * 800
        self.state = "ready"
        self.runs = []
        self._service = service
        self._slots = slots
        self._store = store
        self._born = int(time.time() * 1000)
        self.sequence = 0
        self._server = None
        self._heartbeat = None
        self._writers = set()
        self.address = harness_3.free_address()

    async def start(self):
        """Listen, and register in the store from now on."""
        ip, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, ip, int(port))
        self.register()

    def stop(self):
        """Stop to listen and to register."""
        if self._server is not None:
            self._server.close()
        if self._heartbeat is not None:
            self._heartbeat.cancel()

    def exit(self):
        """End as a process does: the connections close, the entry goes."""
        self.stop()
        self._store.delete(f"servers/{self.identity}")
        for writer in list(self._writers):
            writer.close()

    def register(self):
        """Write the entry in the store, and again at each heartbeat."""
        if self._heartbeat is not None:
            self._heartbeat.cancel()
        loop = asyncio.get_running_loop()
        self._heartbeat = loop.call_later(HEARTBEAT_SECONDS, self.register)
        self.sequence += 1
        entry = {
            "Service": self._service,
            "Address": self.address,
            "Zone": "z1",
            "Version": "v1",
            "Slots": self._slots,
            "State": self.state,
            "ColdLeftMs": 0,
            "Sequence": self.sequence,
            "born": self._born,
        }
        key = f"servers/{self.identity}"
        self._store.put(key, json.dumps(entry).encode())

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                first, *lines = head.decode("latin-1").split("\r\n")
                pairs = [line.partition(":") for line in lines if line]
                headers = {
                    name.lower(): value.strip() for name, _, value in pairs
                }
                size = int(headers.get("content-length", 0))
                await reader.readexactly(size)
                await self._answer(first.split(" ")[1], headers, writer)
        except (EOFError, ConnectionError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, path, headers, writer):
        own = {}
        if self.state == "draining":
            own["Server-Leaving"] = "1"
        if path == "/healthz":
            own["Apricotseam-Instance-Id"] = self.identity
            is_leaving = self.state == "draining"
            _write(writer, 503 if is_leaving else 200, own, b"")
            return
        request_id = headers.get("apricotseam-request-id", "")
        own["Apricotseam-Request-Id"] = request_id
        expected = headers.get("apricotseam-expect-instance", self.identity)
        if expected != self.identity:
            own["Apricotseam-Not-Executed"] = "1"
            own["Apricotseam-Instance-Id"] = self.identity
            _write(writer, 421, own, b"")
            return
        self.runs.append(Run(request_id, time.monotonic()))
        await asyncio.sleep(self.work_seconds)
        signature = f"{self.identity}.{request_id}"
        own["Apricotseam-Server-Signature"] = signature
        _write(writer, 200, own, self.body)
        await writer.drain()


def _write(writer, status, headers, body):
    """Write a complete answer."""
    lines = [f"HTTP/1.1 {status} {'OK' if status == 200 else 'No'}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
