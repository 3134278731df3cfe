"""Choice by least expected cost among a few sampled targets."""

import collections
import itertools
import random
import threading

from apricotseam.pipelines import Chain
from apricotseam.routing._book import LoadBook
from apricotseam.routing._candidates import Candidates
from apricotseam.routing._chooser import Chooser
from apricotseam.routing._chooser import no_chain
from apricotseam.routing._chooser import no_target
from apricotseam.routing._chooser import stage_of
from apricotseam.routing._chooser import TargetLoad
from apricotseam.routing._cost import DEFAULT_BATCH
from apricotseam.routing._cost import DEFAULT_STEP_SECONDS
from apricotseam.routing._cost import MIN_WARMTH
from apricotseam.routing._cost import token_seconds
from apricotseam.routing._cost import utilisation
from apricotseam.routing._cost import work_factor
from apricotseam.routing._ejection import OutlierEjector
from apricotseam.routing._path import cheapest_chain
from apricotseam.routing._prefixes import PrefixTable
from apricotseam.routing._subset import home_target
from apricotseam.routing._zones import ZoneFilter
from apricotseam.routing._zones import ZoneLoads

SAMPLES = 2
MAX_REPORTS = 4096
OWN_WEIGHT = 0.8
OWN_DOUBT = 4.0


class LeastCostChooser(Chooser):
    """Chooses the least expected cost among sampled candidates.

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
        ``distances(scope, zone, other)`` returns seconds one way.
    hosts : callable, optional
        Returns the number of live entry hosts.
    plans : callable, optional
        ``plans(scope, group, model)`` returns pairs of `Chain` and weight
        from the planner, or nothing.
    samples : int
        Targets that are compared for each kind of work.
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
        self._book = LoadBook()
        self._prefixes = PrefixTable()
        self._ejector = OutlierEjector(self._random)
        self._zones = ZoneFilter(zone, hosts or (lambda: 1))
        self._reports = collections.OrderedDict()
        self._candidates = None
        self._known = {}
        self._pools = {}
        self._scale = 1.0
        self._own_weight = 0.0

    def choose_chain(self, table, model, demand):
        """Return the cheapest chain through sampled stages."""
        with self._lock:
            now = self._clock.monotonic()
            pool = self._usable(table, demand, now)
            targets = {
                t.address: t for t in pool if t.version == model.serving
            }
            path = self._planned(model, demand, targets, now)
            if path is None:
                path = self._sampled(model, demand, targets, now)
            if path is None:
                raise no_chain(model)
            for stage in path:
                self._take(stage.address, demand, now)
        return Chain(model.name, model.serving, path)

    def choose_target(self, table, demand):
        """Return the cheapest of a few targets."""
        with self._lock:
            now = self._clock.monotonic()
            pool = self._usable(table, demand, now)
            if not pool:
                raise no_target(demand)
            pool = self._zones.allowed(pool, _Loads(self, 1, now))
            few = self._sample(pool, demand.prefix)
            best = min(few, key=lambda t: self._call_cost(t, demand, now))
            self._take(best.address, demand, now)
        return best

    def started(self, address):
        """Note that a stream or call began at a target."""
        with self._lock:
            self._book.started(address, self._clock.monotonic())

    def ended(self, address):
        """Note that a stream or call ended at a target."""
        with self._lock:
            self._book.ended(address, self._clock.monotonic())

    def observed(self, address, is_success, seconds):
        """Note the result of one step or call and how long it took."""
        with self._lock:
            now = self._clock.monotonic()
            if is_success:
                self._book.timed(address, seconds)
                self._ejector.succeeded(address, now)
                return
            pool, size = self._pools.get(address, (("", ""), 0))
            self._ejector.failed(address, pool, size, now)
            self._prefixes.forget(address)

    def reported(self, address, load):
        """Note the `TargetLoad` that a target reported."""
        with self._lock:
            self._reports[address] = load
            self._reports.move_to_end(address)
            if len(self._reports) > MAX_REPORTS:
                self._reports.popitem(last=False)

    def cached(self, address, events):
        """Note `CacheEvent` records of an engine."""
        with self._lock:
            for event in events:
                self._prefixes.applied(
                    address, event.sequence, event.prefix, event.held
                )

    def sent(self, address, prefix):
        """Note that a prefix was sent to an engine."""
        with self._lock:
            self._prefixes.sent(address, prefix)

    def event_sequence(self, address):
        """Return the number of the last cache event of an engine."""
        return self._prefixes.sequence(address)

    def watched(self, table):
        """Return the targets of this host's subsets."""
        with self._lock:
            view = self._view(table)
            keys = {(t.scope, t.group) for t in table.all}
            return [t for key in keys for t in view.watched(*key)]

    def ejected(self, scope, group):
        """Return how many targets of a pool are ejected here."""
        return self._ejector.ejected((scope, group))

    def _view(self, table):
        if self._candidates is None or self._candidates.table is not table:
            self._candidates = Candidates(table, self._host, self._zone)
        return self._candidates

    def _usable(self, table, demand, now):
        """Return candidates, without ejected ones unless all are."""
        key = (demand.scope, demand.group)
        pool = self._view(table).pool(*key)
        self._note_joined(key, pool, now)
        pool = [t for t in pool if t.name not in demand.excluded]
        admitted = [t for t in pool if self._ejector.may_use(t.address, now)]
        usable = admitted or pool
        self._note_scale(usable, now)
        return usable

    def _note_joined(self, key, pool, now):
        known = self._known.get(key)
        if known is not None and known[0] is pool:
            return
        addresses = {target.address for target in pool}
        if known is not None:
            for address in addresses - known[1]:
                self._ejector.joined(address, key, now)
            for address in known[1] - addresses:
                self._pools.pop(address, None)
        for address in addresses:
            self._pools[address] = (key, len(pool))
        self._known[key] = (pool, addresses)

    def _planned(self, model, demand, targets, now):
        """Return the cheapest of a few chains of the plan, or None."""
        chains = [
            (chain, weight)
            for chain, weight in self._plans(demand.scope, demand.group, model)
            if chain.version == model.serving
            and all(stage.address in targets for stage in chain.stages)
        ]
        if not chains:
            return None
        few = self._random.choices(
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

        return min(few, key=cost).stages

    def _sampled(self, model, demand, targets, now):
        pool = self._zones.allowed(
            list(targets.values()), _Loads(self, model.layers, now)
        )
        by_range = {}
        for target in pool:
            if target.first is not None:
                key = (target.first, target.last)
                by_range.setdefault(key, []).append(target)
        few = [
            stage_of(target)
            for alike in by_range.values()
            for target in self._sample(alike, demand.prefix)
        ]
        return cheapest_chain(
            few,
            model.layers,
            lambda s: self._stage_cost(s, model, demand, targets, now),
            lambda a, b: self._distances(demand.scope, a, b),
            self._zone,
        )

    def _sample(self, targets, prefix):
        """Return a few targets at random and those that hold the prefix."""
        if len(targets) <= self._samples:
            return targets
        few = self._random.sample(targets, self._samples)
        if prefix:
            holders = self._prefixes.holders(prefix)
            few += [t for t in targets if t.address in holders]
            few.append(home_target(targets, prefix))
        return few

    def _call_cost(self, target, demand, now):
        distance = self._distances(
            demand.scope, self._zone, target.availability_zone
        )
        return distance + self._cost(target, demand, 1.0, now)

    def _stage_cost(self, stage, model, demand, targets, now):
        share = (stage.last - stage.first + 1) / model.layers
        return self._cost(targets[stage.address], demand, share, now)

    def _cost(self, target, demand, share, now):
        address = target.address
        report = self._report(target)
        used = utilisation(
            self._load(target, now) + 1, report.max_batch, share
        )
        seconds = token_seconds(report.step_seconds, used)
        if demand.prefix:
            chance = self._prefixes.chance(address, demand.prefix)
            seconds *= work_factor(demand.tokens, demand.prompt_tokens, chance)
        warmth = self._ejector.warmth(address, now)
        return seconds / max(warmth, MIN_WARMTH)

    def _note_scale(self, pool, now):
        """Note how much runs in a pool for each stream of this host."""
        own = sum(self._book.own(t.address, now) for t in pool)
        everyone = sum(self._corrected(t, now) for t in pool)
        self._scale = everyone / own if own else 1.0
        self._own_weight = OWN_WEIGHT * own / (own + OWN_DOUBT)

    def _load(self, target, now):
        """Return the expected load of a target.

        Hosts that follow the same old reports swing together. What this
        host itself runs is fresh, and scaled up it stands for all hosts,
        since each sees a like part of the requests.
        """
        own = self._book.own(target.address, now) * self._scale
        corrected = self._corrected(target, now)
        return corrected + self._own_weight * (own - corrected)

    def _corrected(self, target, now):
        report = self._report(target)
        return self._book.load(
            target.address, report.running, report.read_at, now
        )

    def _report(self, target):
        report = self._reports.get(target.address)
        if report is not None and report.step_seconds > 0:
            return report
        seconds = self._book.seconds(target.address)
        return TargetLoad(
            running=report.running if report else 0,
            max_batch=report.max_batch if report else DEFAULT_BATCH,
            step_seconds=seconds or DEFAULT_STEP_SECONDS,
            read_at=report.read_at if report else float("-inf"),
        )

    def _take(self, address, demand, now):
        self._ejector.chosen(address, now)
        self._book.reserve(address, now)
        if demand.prefix:
            self._prefixes.sent(address, demand.prefix)


class _Loads(ZoneLoads):
    """Loads of one moment as the zone filter needs them."""

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

    def sent(self, target):
        reported = self.reported(target)
        return max(0, self._chooser._corrected(target, self._now) - reported)


def _default_distance(scope, zone, other):
    return 0.0 if zone == other else 0.0005
