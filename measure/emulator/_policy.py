"""Ways to decide when and where requests run."""

import abc

from apricotseam.chains import ChainStage
from apricotseam.chains import Holder
from apricotseam.fleet import LayerRange
from apricotseam.forwarding import RequestQueue
from apricotseam.forwarding import TargetSelector


class Policy(abc.ABC):
    """Builds the classes by which a host decides."""

    @abc.abstractmethod
    def make_queue(self, now):
        """Return the `RequestQueue` of a host."""

    @abc.abstractmethod
    def make_selector(self, fleet, ledger, zone, generator):
        """Return the `TargetSelector` of a host."""


class ProductPolicy(Policy):
    """The classes of the product, unchanged."""

    def make_queue(self, now):
        """Return the `RequestQueue` of a host."""
        return RequestQueue(now)

    def make_selector(self, fleet, ledger, zone, generator):
        """Return the `TargetSelector` of a host."""
        return TargetSelector(fleet, ledger, zone)


class BaselinePolicy(Policy):
    """First come, first served, on a random chain whatever its load.

    Chains are in the host's zone if that holds all layers.
    """

    def make_queue(self, now):
        """Return the `RequestQueue` of a host."""
        return ArrivalOrderQueue(now)

    def make_selector(self, fleet, ledger, zone, generator):
        """Return the `TargetSelector` of a host."""
        return RandomSelector(fleet, ledger, zone, generator)


class ArrivalOrderQueue(RequestQueue):
    """Queue in the order of arrival."""

    def rank(self, call):
        """Return the sort key of a call; the lowest is served first."""
        return (call.request.received_at,)


class RandomSelector(TargetSelector):
    """Chooses a random holder for each stage of a chain.

    Parameters
    ----------
    fleet, ledger, zone : Fleet, Ledger, str
        As for `TargetSelector`.
    generator : random.Random
        Source of random numbers.
    """

    def __init__(self, fleet, ledger, zone, generator):
        super().__init__(fleet, ledger, zone)
        self._random = generator

    def choose_chain(self, call, now, may_use_reserve=False):
        """Return a random chain as a `Choice`, or None."""
        holders = [
            _as_holder(target)
            for target in self._fleet.of_service(call.service.name)
            if target.record.layers is not None
            and target.identity not in call.failed_targets
        ]
        near = [holder for holder in holders if holder.zone == self._zone]
        layers = call.service.engine.layers
        stages = self._random_stages(near, layers)
        if stages is None:
            stages = self._random_stages(holders, layers)
        if stages is None:
            return None
        return self._make_choice(stages, self.expected_tokens(call))

    def _random_stages(self, holders, layers):
        """Return the stages of a random chain, or None."""
        stages = []
        position = 0
        while position < layers:
            found = [
                holder
                for holder in holders
                if holder.layers.first <= position < holder.layers.last
            ]
            if not found:
                return None
            holder = self._random.choice(found)
            end = min(holder.layers.last, layers)
            stages.append(ChainStage(holder, LayerRange(position, end)))
            position = end
        return stages

    def choose_tail(self, call, choice, now, avoided):
        """Return None: streams stay on their chains."""
        return None


def _as_holder(target):
    record = target.record
    return Holder(
        record.identity, record.address, record.zone, record.layers, 1.0, 1.0
    )
