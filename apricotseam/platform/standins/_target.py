"""Stand-in for a target of the platform."""

import asyncio
import json

from apricotseam.http1 import Server
from apricotseam.platform._instances import EXPECTED_TARGET_HEADER
from apricotseam.platform._instances import OTHER_TARGET_STATUS
from apricotseam.platform.standins._configuration import ACCELERATOR_KIND
from apricotseam.platform.standins._configuration import ENGINE_SERVICE
from apricotseam.platform.standins._configuration import PLAIN_SERVICE
from apricotseam.platform.standins._target_side import limit_headers

MILLISECONDS_PER_SECOND = 1000.0
STREAM_PREFIX = b"/feed/"
BLOCKED_POLL_SECONDS = 0.02
TRICKLE_SECONDS = 0.03
# Time from the receipt of a request that ends the process to its end.
END_SECONDS = 0.03
SIGNATURE = (b"Apricotseam-Server-Signature", b"stand-in")
NOT_EXECUTED = (b"Apricotseam-Not-Executed", b"1")
LEAVING = (b"Server-Leaving", b"1")


class TargetStandIn:
    """HTTP server that behaves as an engine or a plain service.

    Parameters
    ----------
    identity : str
        Identity of the target.
    address : str
        ``ip:port`` to listen on.
    is_engine : bool
        Whether every response is a stream of events.

    Attributes
    ----------
    behaviour : str
        ``good`` answers requests; ``shed`` refuses them as not executed;
        ``silent`` never answers; ``cut`` closes the connection without an
        answer; ``error`` runs a request and answers with `error_status`, as
        a proxy before the process would; ``stray`` answers with
        the identifier of another request; ``nameless`` answers without an
        identifier, and ``nameless refusal`` refuses so, as the late answer
        to a call before would.
    error_status : int
        Status of these answers.
    events : int
        Number of events of a stream.
    event_seconds : float
        Time between two events.
    cut_after : int or None
        Number of the last event that a stream sends in full; the connection
        is closed in the middle of the next one.
    trickles_after : int or None
        Number of the event after which a stream sends single bytes of the
        next one, every `TRICKLE_SECONDS`, and never completes it.
    stalls_after : int or None
        Number of the event after which a stream waits for an order that
        changes its chain.
    pauses_after : int or None
        Number of the event after which the whole target falls silent for
        `pause_seconds`, once: it accepts connections and sends nothing.
    answer_seconds : float
        Time that it takes for an answer that is not a stream.
    slots : int
        Number of requests that its store entry states as its limit.
    pause_seconds : float
        Length of that silence.
    is_leaving : bool
        Whether all its answers say that it is about to exit.
    requests_per_second : float or None
        Limit that all its answers state, None for none.
    rest_values : iterable of bytes
        Values of ``Retry-After`` with which it refuses requests until the
        end of its `rest`.
    fails_at : str
        Address of another target that its refusals name as the one at
        fault, or empty.
    is_blocked : callable
        Takes the chain of a stream as text; the stream waits while it
        returns True.
    ends_process : callable
        Takes a request; returns whether it ends the process, which closes
        all connections and listens no more.
    on_end : callable
        Called with the target as its process ends.
    on_layers_changed : callable
        Called with this stand-in when an order has changed its layers.
    born : int
        Start time that its store entry and its reports state.
    layers : tuple of int or None
        First layer held and first layer after it that is not held.
    orders : list of dict
        Received orders, as decoded from JSON.
    refused_for_others : int
        Number of requests that were meant for other targets.
    requests : list of Request
        Received requests, other than orders and those for a report.
    runs : list of str
        Identifiers of the requests that it began to execute.
    chains : dict
        Chain of each stream as text, by identifier of the request.
    ended : list of str
        Identifiers of the streams that have ended for any reason.
    """

    def __init__(self, identity, address, is_engine=False):
        self.identity = identity
        self.address = address
        # Address in its store entry; differs from `address` if a proxy is
        # used.
        self.advertised_address = address
        self.is_engine = is_engine
        self.behaviour = "good"
        self.error_status = 500
        self.events = 4
        self.event_seconds = 0.0
        self.cut_after = None
        self.trickles_after = None
        self.stalls_after = None
        self.pauses_after = None
        self.pause_seconds = 0.0
        self.answer_seconds = 0.0
        self.slots = 8
        self._pauses_until = 0.0
        self.is_leaving = False
        self.requests_per_second = None
        self.rest_values = ()
        self.fails_at = ""
        self._rests_until = 0.0
        self._rerouted = asyncio.Event()
        self.is_blocked = lambda chain: False
        self.on_layers_changed = lambda target: None
        self.ends_process = lambda request: False
        self.on_end = lambda target: None
        self.born = 1
        self.layers = None
        self.orders = []
        self.refused_for_others = 0
        self.requests = []
        self.runs = []
        self.chains = {}
        self.ended = []
        self._server = Server(self._handle)

    @property
    def is_paused(self):
        """Whether it is silent after `pause`."""
        return asyncio.get_running_loop().time() < self._pauses_until

    async def start(self):
        """Start to listen; return the stand-in itself."""
        await self._server.start(self.address)
        return self

    def stop(self):
        """Stop listening and close all connections."""
        self._server.abort()

    def entry(self, state="ready", born=None):
        """Return its store entry as JSON in bytes.

        Parameters
        ----------
        state : str
            ``ready`` or ``draining``.
        born : int, optional
            Start time to state instead of the true one.
        """
        service = ENGINE_SERVICE if self.is_engine else PLAIN_SERVICE
        fields = {
            "Service": service,
            "Address": self.advertised_address,
            "Zone": "a",
            "Version": "v1",
            "Slots": self.slots,
            "State": state,
            "ColdLeftMs": 0,
            "Sequence": len(self.orders),
            "born": self.born if born is None else born,
        }
        if self.is_engine:
            fields["RouteKind"] = ACCELERATOR_KIND
        if self.layers is not None:
            first, last = self.layers
            fields["Layers"] = {"From": first, "Target": last, "Version": 1}
        return json.dumps(fields).encode()

    def pause(self):
        """Fall silent for `pause_seconds` from now on."""
        now = asyncio.get_running_loop().time()
        self._pauses_until = now + self.pause_seconds

    def rest(self, seconds, *values):
        """Refuse requests from now on, and ask for a rest.

        Parameters
        ----------
        seconds : float
            How long requests are refused.
        *values : bytes
            Values of ``Retry-After``; by default the time that is left.
        """
        now = asyncio.get_running_loop().time()
        self._rests_until = now + seconds
        self.rest_values = values

    def _rest_left(self):
        """Return the seconds that are left of its rest."""
        now = asyncio.get_running_loop().time()
        return max(0.0, self._rests_until - now)

    def _refuse_to_rest(self, exchange, request_id_header):
        values = self.rest_values or (f"{self._rest_left():.3f}".encode(),)
        headers = [(b"Retry-After", value) for value in values]
        if self.fails_at:
            headers.append((b"At-Server", self.fails_at.encode()))
        self._answer(
            exchange, 503, b"", [request_id_header, NOT_EXECUTED, *headers]
        )

    def _answer(self, exchange, status, body=b"", headers=()):
        """Answer completely, with what is said in all answers."""
        exchange.answer(status, body, [*headers, *self._common_headers()])

    def _common_headers(self):
        leaving = [LEAVING] if self.is_leaving else []
        return [*leaving, *limit_headers(self.requests_per_second)]

    async def _wait_while_paused(self):
        loop = asyncio.get_running_loop()
        while (seconds := self._pauses_until - loop.time()) > 0:
            await asyncio.sleep(seconds)

    async def _handle(self, request, exchange):
        await self._wait_while_paused()
        expected = request.header(EXPECTED_TARGET_HEADER.lower())
        if expected not in (None, self.identity):
            self.refused_for_others += 1
            self._answer(exchange, OTHER_TARGET_STATUS, b"", [NOT_EXECUTED])
        elif request.target == b"/v1/order":
            self._accept_order(request, exchange)
        elif request.target == b"/v1/report":
            self._answer(exchange, 200, json.dumps(self._report()).encode())
        else:
            await self._serve(request, exchange)

    def restart(self):
        """Reset the state as a restart of the process does.

        The start time increases; layers, orders and chains are dropped.
        """
        self.born += 1
        self.is_leaving = False
        self.requests_per_second = None
        self._rests_until = 0.0
        self.layers = None
        self.orders.clear()
        self.chains.clear()

    def _report(self):
        report = {"Sequence": len(self.orders), "born": self.born}
        if self.layers is not None:
            first, last = self.layers
            report["Layers"] = {"From": first, "Target": last}
        return report

    def _accept_order(self, request, exchange):
        order = json.loads(request.body)
        self.orders.append(order)
        if order["Op"] == "repath":
            self.chains[order["Id"]] = order["Path"]
            self._rerouted.set()
            self._answer(exchange, 200)
            return
        self.layers = (order["From"], order["Target"])
        self._answer(exchange, 202)
        self.on_layers_changed(self)

    async def _serve(self, request, exchange):
        self.requests.append(request)
        request_id = request.header(b"apricotseam-request-id").encode()
        headers = [(b"Apricotseam-Request-Id", request_id), SIGNATURE]
        if self.behaviour == "silent":
            await asyncio.sleep(3600)
        if self.behaviour == "cut":
            exchange.abort_response()
            return
        if self.behaviour == "shed":
            self._answer(exchange, 503, b"", [headers[0], NOT_EXECUTED])
            return
        if self._rest_left():
            self._refuse_to_rest(exchange, headers[0])
            return
        self.runs.append(request_id_of(request))
        if self.ends_process(request):
            await asyncio.sleep(END_SECONDS)
            self.stop()
            self.on_end(self)
            return
        if self.behaviour == "error":
            self._answer(exchange, self.error_status, b"failed", headers)
            return
        if self.behaviour == "nameless refusal":
            self._answer(exchange, 421, b"", [NOT_EXECUTED])
            return
        if self.behaviour == "nameless":
            del headers[0]
        if self.behaviour == "stray":
            headers[0] = (b"Apricotseam-Request-Id", b"another")
        if self.is_engine or request.target.startswith(STREAM_PREFIX):
            await self._stream(request, exchange, headers)
        else:
            if self.pauses_after == 0:
                self.pauses_after = None
                self.pause()
            await self._wait_while_paused()
            if self.answer_seconds:
                await asyncio.sleep(self.answer_seconds)
            self._answer(exchange, 200, request.body or b"answer", headers)

    async def _stream(self, request, exchange, headers):
        try:
            request_id = request_id_of(request)
            self.chains[request_id] = request.header(b"apricotseam-hop-count")
            exchange.start(200, [*headers, *self._common_headers()])
            after = int(request.header(b"last-event-id") or 0)
            for number in range(after + 1, self.events + 1):
                if self.event_seconds:
                    await asyncio.sleep(self.event_seconds)
                while self.is_blocked(self.chains[request_id]):
                    await asyncio.sleep(BLOCKED_POLL_SECONDS)
                if self.cut_after is not None and number > self.cut_after:
                    await exchange.write(b"id: 9")
                    exchange.abort_response()
                    return
                while number - 1 == self.trickles_after:
                    await exchange.write(b":")
                    await asyncio.sleep(TRICKLE_SECONDS)
                if number - 1 == self.pauses_after:
                    self.pauses_after = None
                    self.pause()
                await self._wait_while_paused()
                if self.stalls_after is not None and (
                    number > self.stalls_after
                ):
                    await self._rerouted.wait()
                text = f"id: {number}\ndata: t{number}\n\n"
                await exchange.write(text.encode())
            exchange.end()
        finally:
            self.ended.append(request_id_of(request))


def request_id_of(request):
    """Return the identifier of a request."""
    return request.header(b"apricotseam-request-id")
