"""Choice of the target or chain of least expected cost among a few."""

import collections
import itertools
import random
import threading

from apricotseam.pipelines import Chain
from apricotseam.routing._candidates import Candidates
from apricotseam.routing._chooser import Chooser
from apricotseam.routing._chooser import no_chain_error
from apricotseam.routing._chooser import no_target_error
from apricotseam.routing._chooser import stage_of
from apricotseam.routing._chooser import TargetLoad
from apricotseam.routing._cost import DEFAULT_BATCH
from apricotseam.routing._cost import DEFAULT_STEP_SECONDS
from apricotseam.routing._cost import MIN_SLOW_START_SHARE
from apricotseam.routing._cost import token_seconds
from apricotseam.routing._cost import utilisation
from apricotseam.routing._cost import work_factor
from apricotseam.routing._ejection import OutlierEjector
from apricotseam.routing._load_tracker import LoadTracker
from apricotseam.routing._path import cheapest_chain
from apricotseam.routing._prefixes import PrefixTable
from apricotseam.routing._subset import affinity_target
from apricotseam.routing._zones import ZoneFilter
from apricotseam.routing._zones import ZoneLoads

SAMPLES = 2
MAX_REPORTS = 4096
# Largest weight of this host's own streams in the estimate of a load.
MAX_OWN_WEIGHT = 0.8
# Number of this host's streams in a pool at which the weight is half of that.
OWN_WEIGHT_HALF_STREAMS = 4.0


class LeastCostChooser(Chooser):
    """Chooses the target or chain of least expected cost out of a sample.

    Parameters
    ----------
    host : str
        Name of this host.
    zone : str
        Its availability zone.
    clock : Clock
        Source of time.
    generator : random.Random, optional
        Source of random numbers.
    distances : callable, optional
        ``distances(scope, zone, other)`` returns the one-way latency
        between two zones in seconds.
    hosts : callable, optional
        Returns the number of live entry hosts.
    plans : callable, optional
        ``plans(scope, group, model)`` returns the planned pairs of `Chain`
        and weight; empty if there is no plan.
    samples : int
        Number of targets, or planned chains, that are compared.
    """

    def __init__(
        self,
        *,
        host,
        zone,
        clock,
        generator=None,
        distances=None,
        hosts=None,
        plans=None,
        samples=SAMPLES,
    ):
        self._host = host
        self._zone = zone
        self._clock = clock
        self._random = generator or random.Random()
        self._distances = distances or _default_distance
        self._plans = plans or (lambda scope, group, model: ())
        self._samples = samples
        self._lock = threading.Lock()
        self._load_tracker = LoadTracker()
        self._prefixes = PrefixTable()
        self._ejector = OutlierEjector(self._random)
        self._zone_filter = ZoneFilter(zone, hosts or (lambda: 1))
        self._reports = collections.OrderedDict()
        self._candidates = None
        self._pool_members = {}
        self._pool_by_address = {}
        self._total_per_own = 1.0
        self._own_weight = 0.0

    def choose_chain(self, table, model, demand):
        """Return the cheapest of a few planned or sampled chains.

        Planned chains are preferred to chains of sampled targets.
        """
        with self._lock:
            now = self._clock.monotonic()
            pool = self._usable(table, demand, now)
            targets = {
                t.address: t for t in pool if t.version == model.serving
            }
            path = self._choose_planned(model, demand, targets, now)
            if path is None:
                path = self._choose_sampled(model, demand, targets, now)
            if path is None:
                raise no_chain_error(model)
            for stage in path:
                self._record_choice(stage.address, demand, now)
        return Chain(model.name, model.serving, path)

    def choose_target(self, table, demand):
        """Return the cheapest of a few sampled targets."""
        with self._lock:
            now = self._clock.monotonic()
            pool = self._usable(table, demand, now)
            if not pool:
                raise no_target_error(demand)
            pool = self._zone_filter.allowed(pool, _CurrentLoads(self, 1, now))
            sampled = self._sample(pool, demand.prefix)
            best = min(sampled, key=lambda t: self._call_cost(t, demand, now))
            self._record_choice(best.address, demand, now)
        return best

    def started(self, address):
        """Record that a stream or call started at a target."""
        with self._lock:
            self._load_tracker.started(address, self._clock.monotonic())

    def ended(self, address):
        """Record that a stream or call ended at a target."""
        with self._lock:
            self._load_tracker.ended(address, self._clock.monotonic())

    def observed(self, address, is_success, seconds):
        """Record the result and duration of a batch of steps or a call."""
        with self._lock:
            now = self._clock.monotonic()
            if is_success:
                self._load_tracker.record_duration(address, seconds)
                self._ejector.record_success(address, now)
                return
            pool, size = self._pool_by_address.get(address, (("", ""), 0))
            self._ejector.record_failure(address, pool, size, now)
            self._prefixes.forget(address)

    def reported(self, address, load):
        """Record the `TargetLoad` that a target reported."""
        with self._lock:
            self._reports[address] = load
            self._reports.move_to_end(address)
            if len(self._reports) > MAX_REPORTS:
                self._reports.popitem(last=False)

    def cache_changed(self, address, events):
        """Apply `CacheEvent` records of an engine."""
        with self._lock:
            for event in events:
                self._prefixes.apply_event(
                    address, event.sequence, event.prefix, event.held
                )

    def prefix_sent(self, address, prefix):
        """Record that a prefix was sent to an engine."""
        with self._lock:
            self._prefixes.record_sent(address, prefix)

    def event_sequence(self, address):
        """Return the sequence number of an engine's last event, or 0."""
        return self._prefixes.last_sequence(address)

    def watched(self, table):
        """Return the targets in this host's subsets of all pools."""
        with self._lock:
            candidates = self._current_candidates(table)
            keys = {(t.scope, t.group) for t in table.all}
            return [t for key in keys for t in candidates.watched(*key)]

    def ejected(self, scope, group):
        """Return how many targets of a pool this host has ejected."""
        return self._ejector.ejected((scope, group))

    def _current_candidates(self, table):
        """Return the candidates of a table, computed once for each table."""
        if self._candidates is None or self._candidates.table is not table:
            self._candidates = Candidates(table, self._host, self._zone)
        return self._candidates

    def _usable(self, table, demand, now):
        """Return the targets of a pool that a request may go to.

        Ejected targets are left out unless all are ejected.
        """
        key = (demand.scope, demand.group)
        pool = self._current_candidates(table).pool(*key)
        self._update_membership(key, pool, now)
        pool = [t for t in pool if t.name not in demand.excluded]
        admitted = [
            t for t in pool if self._ejector.may_route_to(t.address, now)
        ]
        usable = admitted or pool
        self._update_scale(usable, now)
        return usable

    def _update_membership(self, key, pool, now):
        """Record the members of a pool and begin slow start of new ones."""
        previous = self._pool_members.get(key)
        if previous is not None and previous[0] is pool:
            return
        addresses = {target.address for target in pool}
        if previous is not None:
            for address in addresses - previous[1]:
                self._ejector.begin_slow_start(address, key, now)
            for address in previous[1] - addresses:
                self._pool_by_address.pop(address, None)
        for address in addresses:
            self._pool_by_address[address] = (key, len(pool))
        self._pool_members[key] = (pool, addresses)

    def _choose_planned(self, model, demand, targets, now):
        """Return the stages of the cheapest sampled planned chain, or None."""
        chains = [
            (chain, weight)
            for chain, weight in self._plans(demand.scope, demand.group, model)
            if chain.version == model.serving
            and all(stage.address in targets for stage in chain.stages)
        ]
        if not chains:
            return None
        sampled = self._random.choices(
            [chain for chain, _ in chains],
            weights=[weight for _, weight in chains],
            k=self._samples,
        )

        def cost(chain):
            zones = [stage.availability_zone for stage in chain.stages]
            hops = sum(
                self._distances(demand.scope, a, b)
                for a, b in itertools.pairwise(zones)
            )
            return hops + sum(
                self._stage_cost(stage, model, demand, targets, now)
                for stage in chain.stages
            )

        return min(sampled, key=cost).stages

    def _choose_sampled(self, model, demand, targets, now):
        """Return the cheapest chain of sampled targets, or None."""
        pool = self._zone_filter.allowed(
            list(targets.values()), _CurrentLoads(self, model.layers, now)
        )
        by_range = {}
        for target in pool:
            if target.first is not None:
                key = (target.first, target.last)
                by_range.setdefault(key, []).append(target)
        sampled = [
            stage_of(target)
            for same_range in by_range.values()
            for target in self._sample(same_range, demand.prefix)
        ]
        return cheapest_chain(
            sampled,
            model.layers,
            lambda s: self._stage_cost(s, model, demand, targets, now),
            lambda a, b: self._distances(demand.scope, a, b),
            self._zone,
        )

    def _sample(self, targets, prefix):
        """Return a few targets to compare.

        These are targets chosen at random, those that may hold the
        prefix, and the one that all hosts prefer for the prefix.
        """
        if len(targets) <= self._samples:
            return targets
        sampled = self._random.sample(targets, self._samples)
        if prefix:
            holders = self._prefixes.holders(prefix)
            sampled += [t for t in targets if t.address in holders]
            sampled.append(affinity_target(targets, prefix))
        return sampled

    def _call_cost(self, target, demand, now):
        """Return the cost of a call, including the latency, in seconds."""
        distance = self._distances(
            demand.scope, self._zone, target.availability_zone
        )
        return distance + self._cost(target, demand, 1.0, now)

    def _stage_cost(self, stage, model, demand, targets, now):
        """Return the cost of a stage, without latency, in seconds."""
        share = (stage.last - stage.first + 1) / model.layers
        return self._cost(targets[stage.address], demand, share, now)

    def _cost(self, target, demand, share, now):
        """Return the expected cost of work at a target in seconds.

        ``share`` is the fraction of its time that a stream spends there.
        """
        address = target.address
        report = self._report(target)
        used = utilisation(
            self._load(target, now) + 1, report.max_batch, share
        )
        seconds = token_seconds(report.step_seconds, used)
        if demand.prefix:
            hit_probability = self._prefixes.hit_probability(
                address, demand.prefix
            )
            seconds *= work_factor(
                demand.tokens, demand.prompt_tokens, hit_probability
            )
        slow_start_share = self._ejector.slow_start_share(address, now)
        return seconds / max(slow_start_share, MIN_SLOW_START_SHARE)

    def _update_scale(self, pool, now):
        """Update how this host's own load counts in the estimates.

        The own load is scaled up to that of all hosts, and its weight
        grows with the number of streams that this host runs in the pool.
        """
        own = sum(self._load_tracker.own_load(t.address, now) for t in pool)
        total = sum(self._corrected(t, now) for t in pool)
        self._total_per_own = total / own if own else 1.0
        self._own_weight = (
            MAX_OWN_WEIGHT * own / (own + OWN_WEIGHT_HALF_STREAMS)
        )

    def _load(self, target, now):
        """Return the expected load of a target in streams.

        Hosts that all follow the same old reports choose the same targets
        at the same time, and the load oscillates. This host's own load is
        up to date. Scaled up, it estimates the load from all hosts, since
        each host gets a similar share of the requests.
        """
        own = (
            self._load_tracker.own_load(target.address, now)
            * self._total_per_own
        )
        corrected = self._corrected(target, now)
        return corrected + self._own_weight * (own - corrected)

    def _corrected(self, target, now):
        """Return the reported load, corrected by this host's later work."""
        report = self._report(target)
        return self._load_tracker.corrected_load(
            target.address, report.running, report.read_at, now
        )

    def _report(self, target):
        """Return the last `TargetLoad`, with defaults for what it lacks."""
        report = self._reports.get(target.address)
        if report is not None and report.step_seconds > 0:
            return report
        seconds = self._load_tracker.mean_seconds(target.address)
        return TargetLoad(
            running=report.running if report else 0,
            max_batch=report.max_batch if report else DEFAULT_BATCH,
            step_seconds=seconds or DEFAULT_STEP_SECONDS,
            read_at=report.read_at if report else float("-inf"),
        )

    def _record_choice(self, address, demand, now):
        self._ejector.record_choice(address, now)
        self._load_tracker.reserve(address, now)
        if demand.prefix:
            self._prefixes.record_sent(address, demand.prefix)


class _CurrentLoads(ZoneLoads):
    """Provides loads at one point in time to the zone filter."""

    __slots__ = ("_chooser", "_layers", "_now")

    def __init__(self, chooser, layers, now):
        self._chooser = chooser
        self._layers = layers
        self._now = now

    def capacity(self, target):
        held = 1
        if target.first is not None:
            held = target.last - target.first + 1
        return self._chooser._report(target).max_batch * self._layers / held

    def reported(self, target):
        return self._chooser._report(target).running

    def unreported(self, target):
        reported = self.reported(target)
        return max(0, self._chooser._corrected(target, self._now) - reported)


def _default_distance(scope, zone, other):
    return 0.0 if zone == other else 0.0005
