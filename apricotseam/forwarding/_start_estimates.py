"""Whether a request's answer would begin in time on a chain."""

import logging

import msgspec

from apricotseam.chains import StageLoad
from apricotseam.chains import StartEstimate
from apricotseam.chains import StartModel
from apricotseam.chains import tokens_to_read

_LOG = logging.getLogger(__name__)

MS_PER_SECOND = 1000.0
# Share of the objective within which an answer has to begin by the estimate.
# The rest is for news from other hosts that is older than what they do.
OBJECTIVE_SHARE = 0.8
# An answer has to begin this long before its caller leaves.
PATIENCE_MARGIN_SECONDS = 0.15
# Time after the loss of a target in which the callers of its streams wait:
# once for this answer and once for that to a repeat.
LOSS_SECONDS = 4.0
# Queue, as a fraction of the objective, at which a chain gets as many requests
# as it can read. A shorter one gets more, a longer one fewer, within bounds.
TARGET_QUEUE_SHARE = 0.4
MAX_INCREASE = 2.0
MAX_DECREASE = 4.0
# Queue, as a fraction of the objective, that is no overload: it is open to
# all classes and customers.
LEAST_QUEUE_SHARE = 0.3
# A second refusal is final, so callers that return as they were asked to come
# before most others.
RETURN_PLACE_FACTOR = 0.3


class StartVerdict(msgspec.Struct, frozen=True):
    """An estimate, and the latest start that counts as in time.

    ``limit_ms`` is in milliseconds from now, like the estimate. It includes
    the factors of the request's class and customer, ``full_limit_ms`` does
    not.
    ``admitted_share`` is the fraction of all requests that the chain can
    take, ``place`` that of this request among them, both from 0 to 1.
    """

    estimate: StartEstimate
    limit_ms: float
    full_limit_ms: float
    admitted_share: float = 1.0
    place: float = 0.0
    class_factor: float = 1.0
    customer_factor: float = 1.0

    @property
    def is_in_time(self):
        """Whether the request may be sent."""
        if self.place > self.admitted_share:
            return False
        return self.estimate.milliseconds <= self.limit_ms

    @property
    def is_late_by_share(self):
        """Whether it is late only because of its class or customer.

        It may be sent later, when those that go first are through.
        """
        if self.place > self.admitted_share:
            return False
        estimate_ms = self.estimate.milliseconds
        return self.limit_ms < estimate_ms <= self.full_limit_ms

    @property
    def excess_ms(self):
        """By how many milliseconds the estimate exceeds the limit."""
        return max(0.0, self.estimate.milliseconds - self.limit_ms)


class _LostStreams(msgspec.Struct):
    """Streams of all hosts on the lost targets of a service in one zone."""

    count: int
    since: float


class StartEstimator:
    """Estimates starts from what all hosts have booked.

    Hosts know of each other's bookings with a delay, so in an overload each
    of them would find the same room. A request therefore has a random place
    among those of all hosts, and is sent only if those before it leave room:

    - after a loss, the streams that used the lost targets compete for other
      chains; the hosts' last messages tell how many there are;
    - if more requests arrive at all hosts than a chain can read, only the
      part that it can read is sent there.

    Parameters
    ----------
    ledger : Ledger
        Capacity in use on the targets.
    generator : random.Random
        Draws the places.
    request_rate : callable, optional
        Returns the requests per second of all hosts for a service, by its
        name and the monotonic time in seconds.
    share_rules : ShareRules, optional
        Factors of classes and customers; without them all are equal.
    """

    def __init__(self, ledger, generator, request_rate=None, share_rules=None):
        self._ledger = ledger
        self._random = generator
        self._request_rate = request_rate or (lambda service, now: 0.0)
        self._share_rules = share_rules
        # `_LostStreams` by service and zone.
        self._lost = {}
        # Last `StartModel` and the service that it is made for.
        self._model = None
        self._service = None

    def record_loss(self, target, now):
        """Record that a target answers no more.

        Targets of one service and zone mostly run the same streams, so the
        largest number counts, not the sum.

        Parameters
        ----------
        target : Target
            The target.
        now : float
            Monotonic time in seconds.
        """
        count = self._ledger.running(target.identity)
        key = (target.record.service, target.record.zone)
        known = self._lost.get(key)
        if known is not None and now - known.since < LOSS_SECONDS:
            known.count = max(count, known.count)
        else:
            self._lost[key] = _LostStreams(count, now)

    def limit_ms(self, call, now):
        """Return within which time an answer has to begin, in ms.

        Parameters
        ----------
        call : Call
            The request.
        now : float
            Monotonic time in seconds.
        """
        if call.last_event is not None:
            return self._patience_ms(call, now)
        objective = OBJECTIVE_SHARE * call.route.objective_seconds
        until = min(call.request.received_at + objective, call.deadline)
        return max(0.0, until - now) * MS_PER_SECOND

    def _factors(self, call):
        """Return the factors of a call's class and customer.

        They apply to new requests. A caller returns once, so a second
        refusal is final, and a stream that had begun goes on.
        """
        is_new = not call.is_return and call.last_event is None
        if not (call.load.fair_shares and is_new):
            return 1.0, 1.0
        rules, key = self._share_rules, call.demand_key
        return rules.class_factor(key), rules.customer_factor(key)

    def _place(self, call):
        """Return the place of a call among the requests of all hosts."""
        draw = call.draw_place(self._random)
        if call.is_return:
            draw *= RETURN_PLACE_FACTOR
        if not call.load.fair_shares:
            return draw
        return self._share_rules.place(call.demand_key, draw)

    def judge(self, call, stages, chains, now):
        """Return the `StartVerdict` on a chain.

        Parameters
        ----------
        call : Call
            The request.
        stages : list of StageLoad
            The stages of the chain.
        chains : int
            Number of chains that share what was lost.
        now : float
            Monotonic time in seconds.
        """
        model = self.model_of(call.service)
        tokens = tokens_to_read(
            call.metadata.prompt_tokens or 0,
            call.last_event or 0,
            call.service.engine,
        )
        estimate = model.estimate(
            stages, tokens, self._ledger.start_ms(model.link)
        )
        usual_ms = self._scarcest_ms(model, stages, chains)
        place = self._place(call)
        ahead_ms = self._ahead_ms(call.service.name, place, usual_ms, now)
        share = self._admitted_share(call, estimate.queue_ms, usual_ms, now)
        estimate = msgspec.structs.replace(
            estimate,
            milliseconds=estimate.milliseconds + ahead_ms,
            queue_ms=estimate.queue_ms + ahead_ms,
        )
        class_factor, customer_factor = self._factors(call)
        factor = class_factor * customer_factor
        return StartVerdict(
            estimate,
            self._allowed_ms(call, estimate, now, factor),
            self._allowed_ms(call, estimate, now, 1.0),
            share,
            place,
            class_factor,
            customer_factor,
        )

    def model_of(self, service):
        """Return the `StartModel` of a service."""
        if self._service is not service:
            self._service = service
            self._model = StartModel(service)
        return self._model

    def _scarcest_ms(self, model, stages, chains):
        """Return what a usual prompt takes from the scarcest resource.

        The targets of parallel chains share the work, the link doesn't.
        """
        work = model.usual_work(stages)
        return max(
            milliseconds if resource == model.link else milliseconds / chains
            for resource, milliseconds in work
        )

    def _allowed_ms(self, call, estimate, now, factor):
        """Return the latest start that is accepted, in ms from now.

        A request that is late even on an idle chain may wait there for as
        long as others do. Otherwise the factor lessens the time that it may
        wait, not that of its own work.

        Parameters
        ----------
        call : Call
            The request.
        estimate : StartEstimate
            When its answer would begin.
        now : float
            Monotonic time in seconds.
        factor : float
            Factor of its class and customer.
        """
        limit_ms = self.limit_ms(call, now)
        own_ms = estimate.milliseconds - estimate.queue_ms
        if own_ms > limit_ms:
            return min(own_ms + limit_ms, self._patience_ms(call, now))
        if not call.load.fair_shares or call.last_event is not None:
            return limit_ms
        longest_ms = self._longest_queue_ms(call)
        room_ms = min(limit_ms - own_ms, longest_ms)
        least_ms = min(room_ms, LEAST_QUEUE_SHARE * longest_ms)
        return own_ms + max(least_ms, room_ms * factor)

    def _longest_queue_ms(self, call):
        """Return up to which queue a class may add work, in milliseconds.

        A class with a long objective must not fill queues in which more
        urgent ones with short objectives would be late.
        """
        objective = call.table.least_objective(
            call.service.name, call.effective_priority
        )
        return OBJECTIVE_SHARE * objective * MS_PER_SECOND

    def _patience_ms(self, call, now):
        """Return for how long the caller waits for an event, in ms."""
        left = call.waits_until - PATIENCE_MARGIN_SECONDS - now
        return max(0.0, left) * MS_PER_SECOND

    def _ahead_ms(self, service, place, usual_ms, now):
        """Return the work of lost streams that comes first, in ms.

        Parameters
        ----------
        service : str
            Name of the service.
        place : float
            Place of the request among all, from 0 to 1.
        usual_ms : float
            What a usual prompt takes from the scarcest resource.
        now : float
            Monotonic time in seconds.
        """
        ahead_ms = 0.0
        for (lost_service, _), lost in self._lost.items():
            elapsed_ms = (now - lost.since) * MS_PER_SECOND
            is_recent = elapsed_ms < LOSS_SECONDS * MS_PER_SECOND
            if lost_service == service and is_recent:
                work_ms = place * lost.count * usual_ms
                ahead_ms += max(0.0, work_ms - elapsed_ms)
        return ahead_ms

    def _admitted_share(self, call, queue_ms, usual_ms, now):
        """Return the fraction of all requests that the chains can take.

        It follows the rate of all requests, corrected by the queue. Streams
        that had begun are admitted in any case.
        """
        if call.last_event is not None:
            return 1.0
        rate = self._request_rate(call.service.name, now)
        demand = rate * usual_ms / MS_PER_SECOND
        if demand <= 0:
            return 1.0
        target_ms = (
            TARGET_QUEUE_SHARE * call.route.objective_seconds * MS_PER_SECOND
        )
        correction = target_ms / max(queue_ms, target_ms / MAX_INCREASE)
        correction = max(correction, 1.0 / MAX_DECREASE)
        return min(1.0, correction / demand)


def log_late_start(call, verdict, ledger, now):
    """Log that a call is refused since its answer would begin too late.

    Parameters
    ----------
    call : Call
        The request.
    verdict : StartVerdict
        The one on the chain that would begin first.
    ledger : Ledger
        Capacity in use on the targets.
    now : float
        Monotonic time in seconds.
    """
    estimate = verdict.estimate
    _LOG.info(
        "start_refused",
        extra={
            "request": call.request_id,
            "customer": call.customer,
            "priority": call.effective_priority,
            "estimate_ms": round(estimate.milliseconds),
            "limit_ms": round(verdict.limit_ms),
            "queue_ms": round(estimate.queue_ms),
            "resource": estimate.resource,
            "admitted_share": round(verdict.admitted_share, 3),
            "place": round(verdict.place, 3),
            "class_factor": round(verdict.class_factor, 3),
            "customer_factor": round(verdict.customer_factor, 3),
            "news_ms": round(ledger.news_seconds(now) * MS_PER_SECOND),
        },
    )


def stage_load(target, layers, kind, ledger, now):
    """Return the `StageLoad` of a target in a chain.

    Parameters
    ----------
    target : Target
        The target.
    layers : int
        Number of layers that the stage runs.
    kind : AcceleratorKind
        Its accelerator.
    ledger : Ledger
        Capacity in use on the targets.
    now : float
        Monotonic time in seconds.
    """
    slowness = target.health.slowness(now)
    return StageLoad(
        target.identity,
        target.record.zone,
        layers,
        kind.step_factor * slowness,
        kind.read_factor * slowness,
        ledger.running(target.identity),
        ledger.start_ms(target.identity),
    )
