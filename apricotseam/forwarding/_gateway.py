"""Entry point for callers' requests: admission, dispatch and logging."""

import asyncio
import logging
import random
import time

from apricotseam.forwarding._active_streams import ActiveStreams
from apricotseam.forwarding._announcements import AnnouncementRecorder
from apricotseam.forwarding._answering import decline
from apricotseam.forwarding._answering import fail
from apricotseam.forwarding._answering import Refusal
from apricotseam.forwarding._answering import refuse
from apricotseam.forwarding._answering import refuse_call
from apricotseam.forwarding._call import Call
from apricotseam.forwarding._paces import PaceRecorder
from apricotseam.forwarding._plain import PlainRunner
from apricotseam.forwarding._probes import TargetProber
from apricotseam.forwarding._quarantine_gate import QuarantineGate
from apricotseam.forwarding._relay import RelayRunner
from apricotseam.forwarding._return_schedule import ReturnSchedule
from apricotseam.forwarding._start_estimates import StartEstimator
from apricotseam.forwarding._streams import StreamRunner
from apricotseam.forwarding._target_ends import TargetEndDetector
from apricotseam.http1 import EndCause
from apricotseam.platform import decode_request_metadata
from apricotseam.positions import NO_POSITION
from apricotseam.quarantine import Quarantine
from apricotseam.routes import LoadPolicy
from apricotseam.routes import RepeatPolicy
from apricotseam.sharing import DemandMeter
from apricotseam.sharing import ShareRules

_LOG = logging.getLogger(__name__)

UNREADY_RETRY_SECONDS = 0.3
SHUTDOWN_RETRY_SECONDS = 0.0
# Given at the end of the process to requests that may have run.
EXIT_STATUS = 504
# The next configuration version may declare the missing service.
NO_SERVICE_RETRY_SECONDS = 1.0


class PeerViews:
    """What other hosts find of targets; here those of a single host."""

    def is_shared(self, identity):
        """Return whether at least half of them find a target silent."""
        return False

    def is_disputed(self, identity):
        """Return whether most of them do not find a target silent."""
        return False


class ForwardingContext:
    """State shared by all requests of one host.

    Parameters
    ----------
    fleet : Fleet
        All known targets.
    ledger : Ledger
        Capacity in use on the targets.
    target_selector : TargetSelector
        Selects the targets of each attempt.
    pool : ConnectionPool
        Connections to targets.
    retry_budget : HostRetryBudget
        Limits the retries that this host sends.
    metrics : RequestMetrics
        Request metrics.
    request_queue : RequestQueue
        Requests that wait until a chain has capacity.
    now : callable, optional
        Returns monotonic time in seconds.
    wall_time : callable, optional
        Returns the wall-clock time in seconds.
    """

    __slots__ = (
        "announcements",
        "demand",
        "generator",
        "host",
        "is_exiting",
        "_now",
        "load_policy",
        "paces",
        "peer_views",
        "permits",
        "quarantine",
        "quarantine_gate",
        "relay_hosts",
        "relay_pool",
        "retry_budget",
        "returns",
        "share_rules",
        "starts",
        "target_ends",
        "target_selector",
        "fleet",
        "shutdown_at",
        "ledger",
        "metrics",
        "active_streams",
        "pool",
        "prober",
        "table",
        "request_queue",
    )

    def __init__(
        self,
        fleet,
        ledger,
        target_selector,
        pool,
        retry_budget,
        metrics,
        request_queue,
        now=time.monotonic,
        wall_time=time.time,
    ):
        self.request_queue = request_queue
        self.active_streams = ActiveStreams()
        self._now = now
        self.prober = TargetProber(
            pool, ledger, now, self.record_silence, fleet
        )
        self.fleet = fleet
        self.ledger = ledger
        self.paces = PaceRecorder(self, now, wall_time)
        fleet.on_new = self.paces.record_found
        target_selector.paces = self.paces
        self.prober.on_return = self.paces.record_return
        self.target_selector = target_selector
        self.pool = pool
        self.retry_budget = retry_budget
        self.metrics = metrics
        self.announcements = AnnouncementRecorder(
            fleet, request_queue, metrics, now
        )
        self.quarantine = Quarantine(now)
        metrics.watch_quarantine(self.quarantine)
        metrics.watch_fleet(fleet, now)
        metrics.watch_reach(self.prober.reach)
        metrics.watch_paces(self.paces)
        self.quarantine_gate = QuarantineGate(self.quarantine)
        self.target_ends = TargetEndDetector(metrics, self.quarantine)
        self.generator = random.Random()
        self.demand = DemandMeter(now)
        self.share_rules = ShareRules(self.demand)
        self.starts = StartEstimator(
            ledger,
            self.generator,
            retry_budget.requests_per_second,
            self.share_rules,
        )
        self.returns = ReturnSchedule(self.generator)
        target_selector.starts = self.starts
        target_selector.share_rules = self.share_rules
        request_queue.share_rules = self.share_rules
        # `SendPermits`, set before the first request is accepted.
        self.permits = None
        # Name of this host.
        self.host = ""
        # `RelayHosts` and the connections to them; None if this host passes
        # no requests on.
        self.relay_hosts = None
        self.relay_pool = None
        # Which decisions under load are used.
        self.load_policy = LoadPolicy()
        # What other hosts find of silent targets.
        self.peer_views = PeerViews()
        # Active `RouteTable`; None until the first one is received.
        self.table = None
        # Loop time in seconds at which this host exits; set only at the end
        # of a graceful shutdown.
        self.shutdown_at = None
        # Whether requests in progress get their final answers now, since the
        # process is about to exit.
        self.is_exiting = False

    def record_silence(self, identity):
        """Record that a target answers no more.

        Its streams are checked, and the requests that wait for its service
        are judged again.

        Parameters
        ----------
        identity : str
            Identity of the target.
        """
        target = self.fleet.get(identity)
        if target is not None:
            self.starts.record_loss(target, self._now())
        self.active_streams.recheck(identity)
        if target is not None:
            self.request_queue.wake_all(target.record.service)


class Gateway:
    """Request handler of the listener for callers.

    Parameters
    ----------
    context : ForwardingContext
        State shared by all requests.
    """

    def __init__(self, context):
        self._context = context
        self._streams = StreamRunner(context)
        self._plain = PlainRunner(context)
        self._relay = RelayRunner(context)

    async def handle(self, request, exchange, hop=None):
        """Admit, forward, answer and log one request.

        Parameters
        ----------
        request : Request
            The request as its caller sent it.
        exchange : Exchange
            Exchange on which it is answered.
        hop : RelayHop, optional
            State of the request at the host that passed it on to this one.
        """
        metadata = decode_request_metadata(request)
        exchange.request_id = metadata.request_id
        call, refusal = self._admit(request, exchange, metadata, hop)
        if call is not None and not self._relay.may_help(call):
            refusal = await self._context.quarantine_gate.admit(call)
        if refusal is not None:
            if hop is not None and hop.runs:
                # It may have run before, which a refusal would deny.
                decline(exchange, "refused")
                return
            refuse(
                self._context,
                exchange,
                metadata.request_id,
                self._revision(),
                refusal,
            )
            return
        context = self._context
        loop = asyncio.get_running_loop()
        if not call.is_relayed:
            context.retry_budget.count(call.service.name, loop.time())
        status = "cut"
        try:
            if call.route.repeat is RepeatPolicy.STREAM:
                status = await self._streams.run(call)
            else:
                status = await self._plain.run(call)
        except asyncio.CancelledError:
            status = str(exchange.end_cause or EndCause.HANDLER_CANCELLED)
            if context.is_exiting and not exchange.is_started:
                status = self._answer_at_exit(call)
            raise
        finally:
            self._finish(call, status, loop.time())

    def _admit(self, request, exchange, metadata, hop):
        """Return the admitted `Call` and None, or None and a `Refusal`."""
        context = self._context
        table = context.table
        if table is None:
            return None, Refusal(
                cause="no configuration", retry_after=UNREADY_RETRY_SECONDS
            )
        route = table.find_route(metadata.host, request.path)
        if route is None:
            return None, Refusal(status=404, cause="no route")
        customer = ""
        if table.has_customers and not route.is_public:
            found = table.find_customer(metadata.key)
            if found is None:
                return None, Refusal(status=401, cause="unknown key")
            customer = found.name
        service = table.pick_service(route, metadata.request_id)
        if service is None:
            return None, Refusal(
                cause="no such service", retry_after=NO_SERVICE_RETRY_SECONDS
            )
        call = Call(
            request, exchange, metadata, route, service, customer, table, hop
        )
        call.load = context.load_policy.features(table, service)
        if context.shutdown_at is not None:
            exchange.must_close = True
            if not _ends_before(call, context.shutdown_at):
                return None, Refusal(
                    cause="leaving", retry_after=SHUTDOWN_RETRY_SECONDS
                )
        return call, None

    def _answer_at_exit(self, call):
        """Answer a call that cannot be finished; return the HTTP status."""
        if call.runs or call.is_relaying:
            return fail(call, EXIT_STATUS)
        if call.is_relayed:
            return decline(call.exchange, "leaving")
        return refuse_call(
            self._context, call, "leaving", SHUTDOWN_RETRY_SECONDS
        )

    def _revision(self):
        table = self._context.table
        return table.position if table is not None else NO_POSITION

    def _finish(self, call, status, now):
        kind = call.route.repeat.value
        metrics = self._context.metrics
        seconds = now - call.request.received_at
        metrics.requests.labels(kind, str(status)).inc()
        metrics.duration.labels(kind).observe(seconds)
        _LOG.info(
            "request_done",
            extra={
                "request": call.request_id,
                "route": call.route.name,
                "customer": call.customer,
                "revision": call.table.position,
                "status": status,
                "sends": call.send_outcomes,
                "relayed_to": call.relayed_to,
                "relayed_for": call.hop.host if call.is_relayed else "",
                "milliseconds": _milliseconds(seconds),
                "last_event": call.last_event,
                "first_event_ms": _milliseconds(
                    (call.first_event_at or now) - call.request.received_at
                ),
                "waited_ms": _milliseconds(call.waited_seconds),
                "digest": call.digest,
                "traits": call.traits,
                "longest_pause_ms": _milliseconds(call.longest_gap),
            },
        )


def _ends_before(call, time):
    """Return whether a call is certain to end before a loop time.

    A stream never is, since its duration is not known in advance.
    """
    is_stream = call.route.repeat is RepeatPolicy.STREAM
    return not is_stream and call.deadline <= time


def _milliseconds(seconds):
    return round(seconds * 1000)
