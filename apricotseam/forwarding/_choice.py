"""Which targets take a request."""

import math

import msgspec

from apricotseam.chains import ChainModel
from apricotseam.chains import find_chain
from apricotseam.chains import Holder
from apricotseam.fleet import Target
from apricotseam.platform import call_path
from apricotseam.platform import Stage

# Share of a target's room that is given out, and to those who come back.
FILL_SHARE = 0.98
RETURN_FILL_SHARE = 1.05
# Requests are at different points of their answers, so that together they
# hold this share of what the answers add in the end.
ANSWER_SHARE = 0.6
# Added cost of a target in another availability zone, in requests.
FAR_REQUESTS = 1.0
# By how much a chain of another zone has to be cheaper.
FAR_COST_FACTOR = 1.5
FAR_COST_MS = 5.0
DEFAULT_ANSWER_TOKENS = 200
# Latencies below this make no difference between targets.
MIN_LATENCY_SECONDS = 0.05


class Choice(msgspec.Struct, frozen=True):
    """Where a request goes.

    ``path`` names the parts of a chain; it is empty for one target.
    ``token_ms`` is the estimated time of one token.
    """

    head: Target
    stages: tuple[tuple[Target, int], ...]
    path: tuple[Stage, ...]
    tokens: float
    token_ms: float = 0.0

    @property
    def chain(self):
        """The path as text."""
        return call_path(self.path)

    @property
    def shares(self):
        """Identities and numbers of layers, for the ledger."""
        return [(target.identity, n) for target, n in self.stages]

    def part_at(self, address):
        """Return the target of the chain at an address, or None."""
        for target, _ in self.stages:
            if target.address == address:
                return target
        return None


class Chooser:
    """Chooses targets by memory, speed, load, health and distance.

    Parameters
    ----------
    fleet : Fleet
        The targets.
    ledger : Ledger
        What is in progress on them.
    zone : str
        Availability zone of this host.
    """

    def __init__(self, fleet, ledger, zone):
        self._fleet = fleet
        self._ledger = ledger
        self._zone = zone

    def expected_tokens(self, call):
        """Return the tokens that a request is expected to hold."""
        facts = call.facts
        profile = call.service.engine
        prompt = facts.prompt_tokens or 0
        usual = DEFAULT_ANSWER_TOKENS
        if profile is not None:
            usual = profile.usual_answer_tokens
        answer = facts.expected_answer_tokens or usual
        if facts.max_answer_tokens:
            answer = min(answer, facts.max_answer_tokens)
        return prompt + ANSWER_SHARE * answer

    def choose_chain(self, call, now, is_preferred=False):
        """Return the best `Choice` of a chain, or None if none has room.

        Parameters
        ----------
        call : Call
            The request.
        now : float
            Monotonic time in seconds.
        is_preferred : bool
            Whether it may use the room that is kept free for some.
        """
        profile = call.service.engine
        tokens = self.expected_tokens(call)
        fill = RETURN_FILL_SHARE if is_preferred else FILL_SHARE
        by_zone = {}
        for target in self._fleet.of_service(call.service.name):
            holder = self._holder(target, profile, call, now, fill)
            if holder is not None:
                by_zone.setdefault(holder.zone, []).append(holder)
        best = self._cheapest(by_zone, profile.layers, tokens)
        if best is None:
            everyone = [h for holders in by_zone.values() for h in holders]
            stages = find_chain(everyone, profile.layers, tokens)
            if stages is None:
                return None
            best = stages
        return self._as_choice(best, tokens)

    def _cheapest(self, by_zone, layers, tokens):
        """Return the cheapest chain within one availability zone, or None.

        That of another zone has to be cheaper by far; the own zone is
        searched first, which bounds the search of the others.
        """
        own = by_zone.get(self._zone, [])
        best = find_chain(own, layers, tokens)
        bound = _cost(best) if best is not None else math.inf
        for zone, holders in by_zone.items():
            if zone == self._zone:
                continue
            most = (bound - FAR_COST_MS) / FAR_COST_FACTOR
            stages = find_chain(holders, layers, tokens, most_cost=most)
            if stages is not None:
                best = stages
                bound = _cost(stages) * FAR_COST_FACTOR + FAR_COST_MS
        return best

    def rechoose(self, call, choice, now, avoided):
        """Return a chain with the same first part, or None.

        Only targets of the head's availability zone are taken.

        Parameters
        ----------
        call : Call
            The request; the targets that failed it are left out.
        choice : Choice
            The chain that broke.
        now : float
            Monotonic time in seconds.
        avoided : list of Target
            Targets that are not to be in the new chain.
        """
        profile = call.service.engine
        head = choice.head
        first = choice.path[0].layers
        if head.identity in call.tried or first.last >= profile.layers:
            return None
        holders = []
        for target in self._fleet.of_service(call.service.name):
            is_near = target.record.zone == head.record.zone
            if target is head or not is_near or target in avoided:
                continue
            holder = self._holder(
                target, profile, call, now, RETURN_FILL_SHARE
            )
            if holder is not None:
                holders.append(holder)
        rest = find_chain(holders, profile.layers, choice.tokens, first.last)
        if rest is None:
            return None
        tail = self._as_choice(rest, choice.tokens)
        return Choice(
            head,
            (choice.stages[0], *tail.stages),
            (choice.path[0], *tail.path),
            choice.tokens,
            choice.token_ms,
        )

    def choose_target(self, call, now):
        """Return the best `Choice` of one target, or None."""
        candidates = self._candidates(call, now)
        if not candidates:
            return None
        target = min(candidates, key=self._target_cost)
        return Choice(target, ((target, 1),), (), 1.0)

    def has_layers(self, service):
        """Return whether any chain covers all layers, loaded or not."""
        profile = service.engine
        holders = [
            Holder("", "", "", t.record.layers, 1.0, 1.0)
            for t in self._fleet.of_service(service.name)
            if t.record.layers is not None
        ]
        return find_chain(holders, profile.layers, 0.0) is not None

    def _candidates(self, call, now):
        targets = self._fleet.of_service(call.service.name)
        fresh = [t for t in targets if t.identity not in call.tried]
        sound = [t for t in fresh if not t.health.is_suspect(now)]
        return sound or fresh

    def _target_cost(self, target):
        running = self._ledger.running(target.identity)
        far = 0.0 if target.record.zone == self._zone else FAR_REQUESTS
        load = (running + 1 + far) / target.record.slots
        expected = max(MIN_LATENCY_SECONDS, target.health.latency_seconds)
        return load * target.health.penalty() * expected

    def _holder(self, target, profile, call, now, fill):
        """Return a target as a part of chains, or None if it can't be."""
        record = target.record
        kind = profile.kind(record.kind)
        if record.layers is None or kind is None:
            return None
        if target.health.is_suspect(now) or target.identity in call.tried:
            return None
        capacity = fill * profile.capacity_units(
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
        step = model.step_ms(kind.step_factor, profile.layers, running)
        pressure = 1.0 + (1.0 - free / capacity) ** 2
        cost = step / profile.layers * pressure * target.health.penalty()
        cost *= target.health.slowness(now)
        return Holder(
            record.identity,
            record.address,
            record.zone,
            record.layers,
            cost,
            free,
        )

    def _as_choice(self, stages, tokens):
        targets = tuple(
            (self._fleet.get(s.holder.identity), s.layers.size) for s in stages
        )
        path = tuple(Stage(s.holder.address, s.layers) for s in stages)
        return Choice(targets[0][0], targets, path, tokens, _cost(stages))


def _cost(stages):
    return sum(s.holder.layer_cost * s.layers.size + 0.6 for s in stages)
