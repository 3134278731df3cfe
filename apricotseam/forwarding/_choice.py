"""Selection of the targets that run a request."""

import collections
import functools
import math

import msgspec

from apricotseam.chains import ChainModel
from apricotseam.chains import covers_layers
from apricotseam.chains import find_chain
from apricotseam.chains import Holder
from apricotseam.chains import StartEstimate
from apricotseam.fleet import Target
from apricotseam.forwarding._start_estimates import stage_load
from apricotseam.platform import format_chain
from apricotseam.platform import Stage

# Fraction of a target's capacity up to which new requests may fill it. The
# second one is for requests that were refused or interrupted before.
MAX_UTILIZATION = 0.98
RETRY_MAX_UTILIZATION = 1.05
# Concurrent requests are at different points of their answers. On average
# each holds this fraction of the tokens of its complete answer.
MEAN_ANSWER_FRACTION = 0.6
# Number of requests that are added to the load of a target in another
# availability zone, so that targets in the own zone are preferred.
REMOTE_ZONE_REQUESTS = 1.0
# A chain of another zone is taken only if its cost times this factor, plus
# this many milliseconds, is below that of the own zone.
REMOTE_ZONE_COST_FACTOR = 1.5
REMOTE_ZONE_COST_MS = 5.0
DEFAULT_ANSWER_TOKENS = 200
# Estimate of chains whose starts are not estimated.
NO_ESTIMATE = StartEstimate(0.0, 0.0, "", ())
# Latencies below this make no difference between targets.
MIN_LATENCY_SECONDS = 0.05


class Choice(msgspec.Struct, frozen=True):
    """Targets selected for one attempt of a request.

    ``stages`` pairs each target with the number of layers that it runs.
    ``path`` holds the address and layers of each stage of a chain; it is
    empty for a single target. ``tokens`` is the number of tokens to book,
    ``token_ms`` the estimated time per token in milliseconds. ``start_ms``
    is the estimated time until the first event, and ``start_work`` the time
    that the prompt needs by resource, if starts are estimated.
    """

    head: Target
    stages: tuple[tuple[Target, int], ...]
    path: tuple[Stage, ...]
    tokens: float
    token_ms: float = 0.0
    start_ms: float = 0.0
    start_work: tuple[tuple[str, float], ...] = ()

    @property
    def chain(self):
        """The path of the chain in text form."""
        return format_chain(self.path)

    @property
    def shares(self):
        """Target identities and numbers of layers to book in the ledger."""
        return [(target.identity, n) for target, n in self.stages]

    def target_at(self, address):
        """Return the target of the chain at an address, or None."""
        for target, _ in self.stages:
            if target.address == address:
                return target
        return None


class TargetSelector:
    """Selects targets by memory, speed, load, health and zone.

    Parameters
    ----------
    fleet : Fleet
        All known targets.
    ledger : Ledger
        Capacity in use on the targets.
    zone : str
        Availability zone of this host.
    """

    def __init__(self, fleet, ledger, zone):
        self._fleet = fleet
        self._ledger = ledger
        self._zone = zone
        # `StartEstimator`, `ShareRules` and `PaceRecorder` of this host, set
        # before the first request.
        self.starts = None
        self.share_rules = None
        self.paces = None

    def expected_tokens(self, call):
        """Return the expected mean number of tokens that a request holds."""
        metadata = call.metadata
        profile = call.service.engine
        prompt_tokens = metadata.prompt_tokens or 0
        usual_answer = DEFAULT_ANSWER_TOKENS
        if profile is not None:
            usual_answer = profile.usual_answer_tokens
        answer_tokens = metadata.expected_answer_tokens or usual_answer
        if metadata.max_answer_tokens:
            answer_tokens = min(answer_tokens, metadata.max_answer_tokens)
        return prompt_tokens + MEAN_ANSWER_FRACTION * answer_tokens

    def choose_chain(self, call, now, may_use_reserve=False):
        """Return the cheapest chain as a `Choice`, or None if all are full.

        Parameters
        ----------
        call : Call
            The request.
        now : float
            Monotonic time in seconds.
        may_use_reserve : bool
            Whether the request may use the capacity reserved for requests
            that were refused or interrupted before.
        """
        if call.load.pacing:
            self.paces.release_needed(call.service, now)
        profile = call.service.engine
        tokens = self.expected_tokens(call)
        max_utilization = self._max_utilization(call, may_use_reserve)
        by_zone = collections.defaultdict(list)
        for target in self._fleet.of_service(call.service.name):
            if not _is_closed_head(target, now):
                by_zone[target.record.zone].append(target)

        @functools.cache
        def find_holders(zone):
            found = (
                self._holder(target, profile, call, now, max_utilization)
                for target in by_zone[zone]
            )
            return [holder for holder in found if holder is not None]

        zones = list(by_zone)
        accepts = _accepts_any
        if call.load.start_estimates:
            call.start_verdict = None
            zones = [self._zone, *(z for z in zones if z != self._zone)]
            accepts = functools.partial(self._begins_in_time, call, now)
        best = self._cheapest(find_holders, zones, profile, tokens, accepts)
        if best is None:
            all_holders = [h for zone in zones for h in find_holders(zone)]
            best = find_chain(all_holders, profile.layers, tokens)
            if best is None or not accepts(best):
                return None
        if not call.load.start_estimates:
            return self._make_choice(best, tokens)
        return self._make_choice(best, tokens, call.start_verdict.estimate)

    def _max_utilization(self, call, may_use_reserve):
        """Return up to which fraction a request may fill targets."""
        if may_use_reserve:
            return RETRY_MAX_UTILIZATION
        if not call.load.fair_shares or call.last_event is not None:
            return MAX_UTILIZATION
        return self.share_rules.max_utilization(call.demand_key)

    def _begins_in_time(self, call, now, stages):
        """Return whether the answer on a chain would begin in time.

        The request's `start_verdict` becomes that on the chain, unless the
        answer would begin later than on one that was judged before.
        """
        verdict = self._judge(call, stages, now)
        known = call.start_verdict
        if (
            known is None
            or verdict.is_in_time
            or verdict.excess_ms < known.excess_ms
        ):
            call.start_verdict = verdict
        return verdict.is_in_time

    def _judge(self, call, stages, now):
        """Return the `StartVerdict` of a request on a chain."""
        service = call.service
        loads = [self._stage_load(service, stage, now) for stage in stages]
        return self.starts.judge(
            call, loads, self._count_heads(service, now), now
        )

    def _stage_load(self, service, stage, now):
        """Return the `StageLoad` of a `ChainStage`."""
        target = self._fleet.get(stage.holder.identity)
        kind = service.engine.kind(target.record.kind)
        return stage_load(target, stage.layers.size, kind, self._ledger, now)

    def _count_heads(self, service, now):
        """Return the number of targets at which chains can begin, or 1."""
        heads = sum(
            target.record.layers is not None
            and target.record.layers.first == 0
            and not target.health.is_suspect(now)
            for target in self._fleet.of_service(service.name)
        )
        return max(1, heads)

    def _cheapest(self, find_holders, zones, profile, tokens, accepts):
        """Return the cheapest chain within one availability zone, or None.

        A chain of another zone must be clearly cheaper than that of the own
        zone. The own zone is searched first, as its cost bounds the search
        of the others. These are left out if no chain costs that little.

        Parameters
        ----------
        find_holders : callable
            Returns the usable holders of a zone.
        zones : list of str
            Zones of the targets.
        profile : EngineProfile
            Profile of the engines.
        tokens : float
            Tokens that the request will hold.
        accepts : callable
            Returns whether a chain, as a tuple of `ChainStage`, may be used.
        """
        least_cost = _least_cost(profile)
        best = None
        bound = math.inf
        for zone in [self._zone, *(z for z in zones if z != self._zone)]:
            is_own = zone == self._zone
            cost_limit = math.inf
            if not is_own:
                cost_limit = (
                    bound - REMOTE_ZONE_COST_MS
                ) / REMOTE_ZONE_COST_FACTOR
            if cost_limit < least_cost:
                continue
            stages = find_chain(
                find_holders(zone),
                profile.layers,
                tokens,
                max_cost_ms=cost_limit,
            )
            if stages is None or not accepts(stages):
                continue
            best = stages
            bound = _cost(stages)
            if not is_own:
                bound = bound * REMOTE_ZONE_COST_FACTOR + REMOTE_ZONE_COST_MS
        return best

    def choose_tail(self, call, choice, now, avoided):
        """Return a chain with the same head and a new rest, or None.

        Only targets in the head's availability zone are considered.

        Parameters
        ----------
        call : Call
            The request. Targets that failed it are excluded.
        choice : Choice
            The current chain.
        now : float
            Monotonic time in seconds.
        avoided : list of Target
            Targets to exclude from the new chain.
        """
        profile = call.service.engine
        head = choice.head
        first = choice.path[0].layers
        if (
            head.incarnation in call.failed_targets
            or first.last >= profile.layers
        ):
            return None
        holders = []
        for target in self._fleet.of_service(call.service.name):
            is_same_zone = target.record.zone == head.record.zone
            if target is head or not is_same_zone or target in avoided:
                continue
            holder = self._holder(
                target, profile, call, now, RETRY_MAX_UTILIZATION
            )
            if holder is not None:
                holders.append(holder)
        rest = find_chain(holders, profile.layers, choice.tokens, first.last)
        if rest is None:
            return None
        tail = self._make_choice(rest, choice.tokens)
        return Choice(
            head,
            (choice.stages[0], *tail.stages),
            (choice.path[0], *tail.path),
            choice.tokens,
            choice.token_ms,
            start_work=self._tail_work(call, rest, now),
        )

    def _tail_work(self, call, stages, now):
        """Return the time that a stream needs on its new stages."""
        if not call.load.start_estimates:
            return ()
        return self._judge(call, stages, now).estimate.start_work

    def choose_target(self, call, now):
        """Return the best single target as a `Choice`, or None."""
        candidates = self._candidates(call, now)
        if not candidates:
            return None
        target = min(candidates, key=self._target_cost)
        return Choice(target, ((target, 1),), (), 1.0)

    def has_layers(self, service, at):
        """Return whether a chain covers all layers, regardless of load.

        Parameters
        ----------
        service : Service
            A service with an engine.
        at : float
            Monotonic time in seconds; targets that rest until later, and
            first ones whose limits admit requests only later, are left out.
        """
        held = (
            target.record.layers
            for target in self._fleet.of_service(service.name)
            if target.record.layers is not None
            and not target.is_resting(at)
            and not _is_closed_head(target, at)
        )
        return covers_layers(held, service.engine.layers)

    def opens_at(self, service, now):
        """Return when rests and limits no longer keep a service closed.

        Returns
        -------
        float or None
            Monotonic time in seconds of the first end of a rest, or permit,
            after which the targets that are open then can serve requests,
            regardless of load. None if they can now, or never can.
        """
        if self._can_serve(service, now):
            return None
        times = {
            target.opens_at()
            for target in self._fleet.of_service(service.name)
            if target.opens_at() > now
        }
        for time in sorted(times):
            if self._can_serve(service, time):
                return time
        return None

    def _can_serve(self, service, at):
        if service.engine is not None:
            return self.has_layers(service, at)
        targets = self._fleet.of_service(service.name)
        return any(target.opens_at() <= at for target in targets)

    def _candidates(self, call, now):
        targets = [
            target
            for target in self._fleet.of_service(call.service.name)
            if target.opens_at() <= now
        ]
        untried = [
            t for t in targets if t.incarnation not in call.failed_targets
        ]
        healthy = [t for t in untried if not t.health.is_suspect(now)]
        return healthy or untried

    def _target_cost(self, target):
        running = self._ledger.running(target.identity)
        remote_requests = (
            0.0 if target.record.zone == self._zone else REMOTE_ZONE_REQUESTS
        )
        load = (running + 1 + remote_requests) / target.record.slots
        expected_seconds = max(
            MIN_LATENCY_SECONDS, target.health.latency_seconds
        )
        return load * target.health.penalty() * expected_seconds

    def _holder(self, target, profile, call, now, max_utilization):
        """Return a target as a `Holder`, or None if it is not usable."""
        record = target.record
        kind = profile.kind(record.kind)
        layers = record.layers and record.layers.within(profile.layers)
        if layers is None or kind is None:
            return None
        if (
            target.health.is_suspect(now)
            or target.is_resting(now)
            or target.incarnation in call.failed_targets
        ):
            return None
        capacity = max_utilization * profile.capacity_units(
            kind.memory_mb, record.layers.size
        )
        if target.has_queue(now):
            return None
        booked = self._ledger.used_units(record.identity)
        free = capacity - max(booked, target.reported_units(now))
        running = self._ledger.running(record.identity)
        if running >= record.slots or free <= 0 or not capacity:
            return None
        model = ChainModel(profile)
        step_ms = model.step_ms(kind.step_factor, profile.layers, running)
        pressure = 1.0 + (1.0 - free / capacity) ** 2
        cost = step_ms / profile.layers * pressure * target.health.penalty()
        cost *= target.health.slowness(now)
        queue_ms = self._admitted_queue_ms(call, target, kind, now)
        if queue_ms is None:
            return None
        # The wait counts as spread over the tokens of the answer.
        answer_layers = profile.usual_answer_tokens * record.layers.size
        cost += queue_ms / max(1.0, answer_layers)
        return Holder(
            record.identity,
            record.address,
            record.zone,
            layers,
            cost,
            free,
        )

    def _admitted_queue_ms(self, call, target, kind, now):
        """Return how long a prompt waits at a target, None if too long.

        It is 0 if nothing is booked there or starts are not estimated.
        """
        if not call.load.start_estimates:
            return 0.0
        is_paced = call.load.pacing and target.pace.is_limited
        if not (is_paced or self._ledger.start_ms(target.identity)):
            return 0.0
        layers = target.record.layers.size
        load = stage_load(target, layers, kind, self._ledger, now)
        model = self.starts.model_of(call.service)
        if is_paced and not _is_within_pace(
            target.pace, model, load, call.service.engine.layers, now
        ):
            return None
        queue_ms = model.queue_ms(load)
        return (
            queue_ms if queue_ms <= self.starts.limit_ms(call, now) else None
        )

    def _make_choice(self, stages, tokens, estimate=NO_ESTIMATE):
        targets = tuple(
            (self._fleet.get(s.holder.identity), s.layers.size) for s in stages
        )
        path = tuple(Stage(s.holder.address, s.layers) for s in stages)
        return Choice(
            targets[0][0],
            targets,
            path,
            tokens,
            _cost(stages),
            estimate.milliseconds,
            estimate.start_work,
        )


def _accepts_any(stages):
    """Return True, as any chain with room may be used."""
    return True


def _is_within_pace(pace, model, load, all_layers, now):
    """Return whether the `Pace` of a target allows one more request."""
    [(_, pace.usual_ms)] = model.usual_work([load])
    # The work stays booked until the whole chain has read the prompt.
    whole = msgspec.structs.replace(load, layers=all_layers)
    [(_, pace.least_ms)] = model.usual_work([whole])
    return pace.may_start(load.start_ms, now)


def _is_closed_head(target, now):
    """Return whether a target can only begin a chain, and may not now.

    A limit is about the requests that hosts send to a target, which are
    those whose chains begin there.
    """
    layers = target.record.layers
    is_head = layers is None or layers.first == 0
    return is_head and target.waits_for_permit(now)


def _least_cost(profile):
    """Return the cost of one idle target of the fastest kind."""
    fastest = min((k.step_factor for k in profile.kinds), default=0.0)
    return profile.step_ms * fastest


def _cost(stages):
    """Return the cost of a chain in milliseconds per token.

    As in `find_chain`, each stage adds 0.6 ms for the transfer to it.
    """
    return sum(s.holder.layer_cost_ms * s.layers.size + 0.6 for s in stages)
