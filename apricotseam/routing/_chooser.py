"""Interface of the choice of targets and what it chooses among."""

import abc
import collections
import random

import msgspec

from apricotseam.errors import NoTargetError
from apricotseam.pipelines import Stage


class Demand(msgspec.Struct, frozen=True, kw_only=True):
    """What a request needs of a pool of targets.

    ``prefix`` is a digest of the prompt's beginning, kept apart by
    customer unless the pipeline shares it; ``excluded`` names targets
    that this request must not use again. ``tokens`` bounds the answer,
    ``prompt_tokens`` is the length of the prompt.
    """

    scope: str
    group: str
    customer: str
    prefix: str = ""
    tokens: int = 1
    prompt_tokens: int = 0
    excluded: frozenset[str] = frozenset()


class TargetLoad(msgspec.Struct, frozen=True, kw_only=True):
    """Load that a target reported, and when it was read."""

    running: int
    max_batch: int
    step_seconds: float
    read_at: float


class Chooser(abc.ABC):
    """Chooses chains and targets from a target table.

    The feedback calls tell it what became of its choices; a chooser that
    needs none ignores them.
    """

    @abc.abstractmethod
    def choose_chain(self, table, model, demand):
        """Return a `Chain` of the model's serving version.

        Raises
        ------
        NoTargetError
            If no chain of usable targets covers the model.
        """

    @abc.abstractmethod
    def choose_target(self, table, demand):
        """Return a `TargetState` of a plain service.

        Raises
        ------
        NoTargetError
            If no target is usable.
        """

    def started(self, address):
        """Note that a stream or call began at a target."""

    def ended(self, address):
        """Note that a stream or call ended at a target."""

    def observed(self, address, is_success, seconds):
        """Note the result of one step or call and how long it took."""

    def reported(self, address, load):
        """Note the `TargetLoad` that a target reported."""

    def cached(self, address, events):
        """Note `CacheEvent` records of an engine."""

    def sent(self, address, prefix):
        """Note that a prefix was sent to an engine."""

    def event_sequence(self, address):
        """Return the number of the last cache event of an engine."""
        return 0

    def watched(self, table):
        """Return the targets whose reports and events matter here."""
        return [t for t in table.all if not t.leaving]


class ServingVersions:
    """Chooses a chain of one of the versions that run during a rollout.

    While targets hold several declared versions, each request takes one
    of them with a chance by the targets that hold it, so that neither the
    first chain of a new version nor the last of an old one is flooded.

    Parameters
    ----------
    generator : random.Random, optional
        Source of random numbers.
    """

    def __init__(self, generator=None):
        self._random = generator or random.Random()

    def choose(self, chooser, table, model, demand):
        """Return a `Chain` whose stages all hold one version.

        Raises
        ------
        NoTargetError
            If no declared version has a chain.
        """
        versions = self._order(table, model, demand)
        for version in versions[:-1]:
            wanted = msgspec.structs.replace(model, serving=version)
            try:
                return chooser.choose_chain(table, wanted, demand)
            except NoTargetError:
                continue
        wanted = msgspec.structs.replace(model, serving=versions[-1])
        return chooser.choose_chain(table, wanted, demand)

    def _order(self, table, model, demand):
        """Return the versions to try, one by chance, the serving one next."""
        held = collections.Counter(
            target.version
            for target in table.usable(demand.scope, demand.group)
            if target.version in model.versions
        )
        if set(held) <= {model.serving}:
            return [model.serving]
        names = sorted(held)
        first = self._random.choices(names, [held[n] for n in names])[0]
        others = sorted(held, key=lambda n: (n != model.serving, n))
        return [first, *(name for name in others if name != first)]


def usable_stages(table, model, demand):
    """Return stages of the serving version that may get new work."""
    return [
        stage_of(target)
        for target in table.usable(demand.scope, demand.group)
        if target.first is not None
        and target.version == model.serving
        and target.name not in demand.excluded
    ]


def stage_of(target):
    """Return the `Stage` that a target runs."""
    return Stage(
        target.name,
        target.address,
        target.availability_zone,
        target.first,
        target.last,
    )


def usable_targets(table, demand):
    """Return targets that may get new work.

    Raises
    ------
    NoTargetError
        If there is none.
    """
    targets = [
        target
        for target in table.usable(demand.scope, demand.group)
        if target.name not in demand.excluded
    ]
    if not targets:
        raise no_target(demand)
    return targets


def no_target(demand):
    """Return the error for a group without a usable target."""
    return NoTargetError(
        f"no target of group {demand.group!r} is up",
        "try again later",
        retry_after=1,
    )


def no_chain(model):
    """Return the error for a model that no chain covers."""
    return NoTargetError(
        f"no chain of targets covers model {model.name!r}",
        "try again later",
        retry_after=1,
    )
