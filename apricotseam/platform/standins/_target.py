"""A stand-in for a target of the users' platform."""

import asyncio
import json

from apricotseam.http1 import Server
from apricotseam.platform.standins._configuration import ENGINE_KIND
from apricotseam.platform.standins._configuration import ENGINE_SERVICE
from apricotseam.platform.standins._configuration import PLAIN_SERVICE

MILLISECONDS = 1000.0
STREAM_PREFIX = b"/feed/"
BLOCKED_SECONDS = 0.02
SIGNATURE = (b"Apricotseam-Server-Signature", b"stand-in")


class UsersTarget:
    """Answers requests as an engine or a plain service does.

    Attributes change its behaviour while it runs: ``behaviour`` is one of
    ``good``, ``shed``, ``silent``, ``cut``, ``error`` and ``stray``;
    ``events`` is the length of a stream, ``event_seconds`` the time between
    its events. A stream waits while ``is_blocked``, a function of its chain
    as text, returns True.

    Parameters
    ----------
    identity : str
        Its identity.
    address : str
        ``ip:port`` to listen on.
    is_engine : bool
        Whether answers are streams of events.
    """

    def __init__(self, identity, address, is_engine=False):
        self.identity = identity
        self.address = address
        # What its entry says; another address where a proxy stands before it.
        self.reached_at = address
        self.is_engine = is_engine
        self.behaviour = "good"
        self.events = 4
        self.event_seconds = 0.0
        self.cut_after = None
        # Event after which a stream waits for an order to change its chain.
        self.stalls_after = None
        self._was_rerouted = asyncio.Event()
        self.is_blocked = lambda chain: False
        # Called when an order has changed the layers.
        self.on_layers = lambda target: None
        self.born = 1
        self.layers = None
        self.orders = []
        self.requests = []
        # Identifiers of the requests that it began to work on, and the
        # chains that they were sent along, by identifier.
        self.runs = []
        self.chains = {}
        self.ended = []
        self._server = Server(self._handle)

    async def start(self):
        """Listen; return the stand-in."""
        await self._server.start(self.address)
        return self

    def stop(self):
        """Close all connections."""
        self._server.abort()

    def entry(self, state="ready", born=None):
        """Return the bytes of its entry in the store."""
        service = ENGINE_SERVICE if self.is_engine else PLAIN_SERVICE
        fields = {
            "Service": service,
            "Address": self.reached_at,
            "Zone": "a",
            "Version": "v1",
            "Slots": 8,
            "State": state,
            "ColdLeftMs": 0,
            "Sequence": len(self.orders),
            "born": self.born if born is None else born,
        }
        if self.is_engine:
            fields["RouteKind"] = ENGINE_KIND
        if self.layers is not None:
            first, last = self.layers
            fields["Layers"] = {"From": first, "Target": last, "Version": 1}
        return json.dumps(fields).encode()

    async def _handle(self, request, exchange):
        if request.target == b"/v1/order":
            self._order(request, exchange)
        elif request.target == b"/v1/report":
            exchange.answer(200, json.dumps(self._report()).encode())
        else:
            await self._serve(request, exchange)

    def restart(self):
        """Forget everything, as a process does that starts again."""
        self.born += 1
        self.layers = None
        self.orders.clear()
        self.chains.clear()

    def _report(self):
        report = {"Sequence": len(self.orders), "born": self.born}
        if self.layers is not None:
            first, last = self.layers
            report["Layers"] = {"From": first, "Target": last}
        return report

    def _order(self, request, exchange):
        order = json.loads(request.body)
        self.orders.append(order)
        if order["Op"] == "repath":
            self.chains[order["Id"]] = order["Path"]
            self._was_rerouted.set()
            exchange.answer(200)
            return
        self.layers = (order["From"], order["Target"])
        exchange.answer(202)
        self.on_layers(self)

    async def _serve(self, request, exchange):
        self.requests.append(request)
        request_id = request.header(b"apricotseam-request-id").encode()
        headers = [(b"Apricotseam-Request-Id", request_id), SIGNATURE]
        if self.behaviour == "silent":
            await asyncio.sleep(3600)
        if self.behaviour == "cut":
            exchange.cut()
            return
        if self.behaviour == "shed":
            exchange.answer(503, b"", [(b"Apricotseam-Not-Executed", b"1")])
            return
        self.runs.append(request_id_of(request))
        if self.behaviour == "error":
            exchange.answer(500, b"failed", headers)
            return
        if self.behaviour == "stray":
            headers[0] = (b"Apricotseam-Request-Id", b"another")
        if self.is_engine or request.target.startswith(STREAM_PREFIX):
            await self._stream(request, exchange, headers)
        else:
            exchange.answer(200, request.body or b"answer", headers)

    async def _stream(self, request, exchange, headers):
        try:
            request_id = request_id_of(request)
            self.chains[request_id] = request.header(b"apricotseam-hop-count")
            exchange.start(200, headers)
            after = int(request.header(b"last-event-id") or 0)
            for number in range(after + 1, self.events + 1):
                if self.event_seconds:
                    await asyncio.sleep(self.event_seconds)
                while self.is_blocked(self.chains[request_id]):
                    await asyncio.sleep(BLOCKED_SECONDS)
                if self.cut_after is not None and number > self.cut_after:
                    await exchange.write(b"id: 9")
                    exchange.cut()
                    return
                if self.stalls_after is not None and (
                    number > self.stalls_after
                ):
                    await self._was_rerouted.wait()
                text = f"id: {number}\ndata: t{number}\n\n"
                await exchange.write(text.encode())
            exchange.end()
        finally:
            self.ended.append(request_id_of(request))


def request_id_of(request):
    """Return the identifier of a request."""
    return request.header(b"apricotseam-request-id")
