"""Takes callers' requests and sends each on its way."""

import asyncio
import logging
import time

from apricotseam.forwarding._answering import Refusal
from apricotseam.forwarding._answering import refuse
from apricotseam.forwarding._call import Call
from apricotseam.forwarding._plain import PlainRunner
from apricotseam.forwarding._probes import Probes
from apricotseam.forwarding._registry import PassageRegistry
from apricotseam.forwarding._streams import StreamRunner
from apricotseam.platform import decode_call
from apricotseam.routes import Repeat

_LOG = logging.getLogger(__name__)

UNREADY_RETRY_SECONDS = 0.3
LEAVING_RETRY_SECONDS = 0.0
# An operator's next version may name the service.
NO_SERVICE_RETRY_SECONDS = 1.0


class Scene:
    """What requests read: one configuration, targets, room, connections.

    Parameters
    ----------
    fleet : Fleet
        The targets.
    ledger : Ledger
        What is in progress on them.
    chooser : Chooser
        Chooses targets.
    pool : Pool
        Connections to targets.
    allowance : RetryAllowance
        Repeats that this host may send.
    metrics : RequestMetrics
        Counters.
    waiting : WaitingRoom
        Requests that no chain has room for.
    """

    __slots__ = (
        "allowance",
        "chooser",
        "fleet",
        "leaves_at",
        "ledger",
        "metrics",
        "passages",
        "pool",
        "probes",
        "table",
        "waiting",
    )

    def __init__(
        self, fleet, ledger, chooser, pool, allowance, metrics, waiting
    ):
        self.waiting = waiting
        self.passages = PassageRegistry()
        self.probes = Probes(
            pool, ledger, time.monotonic, self.passages.alert, fleet
        )
        self.fleet = fleet
        self.ledger = ledger
        self.chooser = chooser
        self.pool = pool
        self.allowance = allowance
        self.metrics = metrics
        # The `RouteTable` in force; None before the first one.
        self.table = None
        # Loop time at which this host ends; set late in a planned stop.
        self.leaves_at = None


class Gateway:
    """Handler of the callers' listener.

    Parameters
    ----------
    scene : Scene
        What requests read.
    """

    def __init__(self, scene):
        self._scene = scene
        self._streams = StreamRunner(scene)
        self._plain = PlainRunner(scene)

    async def handle(self, request, exchange):
        """Answer one request of a caller."""
        facts = decode_call(request)
        call, refusal = self._admit(request, exchange, facts)
        if call is None:
            refuse(
                self._scene,
                exchange,
                facts.request_id,
                self._revision(),
                refusal,
            )
            return
        scene = self._scene
        loop = asyncio.get_running_loop()
        scene.allowance.count(call.service.name, loop.time())
        status = "cut"
        try:
            if call.route.repeat is Repeat.STREAM:
                status = await self._streams.run(call)
            else:
                status = await self._plain.run(call)
        except asyncio.CancelledError:
            status = "caller_left"
            raise
        finally:
            self._finish(call, status, loop.time())

    def _admit(self, request, exchange, facts):
        """Return the `Call`, or None and the `Refusal`."""
        scene = self._scene
        table = scene.table
        if table is None:
            return None, Refusal(
                cause="no configuration", retry_after=UNREADY_RETRY_SECONDS
            )
        route = table.find_route(facts.host, request.path)
        if route is None:
            return None, Refusal(status=404, cause="no route")
        customer = ""
        if table.has_customers and not route.is_public:
            found = table.find_customer(facts.key)
            if found is None:
                return None, Refusal(status=401, cause="unknown key")
            customer = found.name
        service = table.pick_service(route, facts.request_id)
        if service is None:
            return None, Refusal(
                cause="no such service", retry_after=NO_SERVICE_RETRY_SECONDS
            )
        call = Call(request, exchange, facts, route, service, customer, table)
        if scene.leaves_at is not None:
            exchange.must_close = True
            if not _ends_before(call, scene.leaves_at):
                return None, Refusal(
                    cause="leaving", retry_after=LEAVING_RETRY_SECONDS
                )
        return call, None

    def _revision(self):
        table = self._scene.table
        return table.revision if table is not None else 0

    def _finish(self, call, status, now):
        kind = call.route.repeat.value
        metrics = self._scene.metrics
        seconds = now - call.request.received_at
        metrics.requests.labels(kind, str(status)).inc()
        metrics.duration.labels(kind).observe(seconds)
        _LOG.info(
            "request_done",
            extra={
                "request": call.request_id,
                "route": call.route.name,
                "customer": call.customer,
                "revision": call.table.revision,
                "status": status,
                "sends": call.outcome,
                "milliseconds": _milliseconds(seconds),
                "last_event": call.last_event,
                "first_event_ms": _milliseconds(
                    (call.first_event_at or now) - call.request.received_at
                ),
                "waited_ms": _milliseconds(call.waited_seconds),
                "longest_pause_ms": _milliseconds(call.longest_pause),
            },
        )


def _ends_before(call, time):
    """Return whether a call is sure to end before a loop time.

    Nobody knows how long a stream lasts.
    """
    is_stream = call.route.repeat is Repeat.STREAM
    return not is_stream and call.deadline <= time


def _milliseconds(seconds):
    return round(seconds * 1000)
