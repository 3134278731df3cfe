"""Interface of the choice of targets and the random baseline."""

import abc
import random

import msgspec

from apricotseam.errors import NoTargetError
from apricotseam.pipelines import enumerate_chains
from apricotseam.pipelines import Stage


class Demand(msgspec.Struct, frozen=True, kw_only=True):
    """What a request needs of a pool of targets.

    ``prefix`` is a digest of the prompt's beginning, kept apart by
    customer unless the pipeline shares it; ``excluded`` names targets
    that this request must not use again.
    """

    scope: str
    group: str
    customer: str
    prefix: str = ""
    tokens: int = 1
    excluded: frozenset[str] = frozenset()


class Chooser(abc.ABC):
    """Chooses chains and targets from a target table."""

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


class RandomChooser(Chooser):
    """Chooses evenly at random; a baseline.

    Parameters
    ----------
    generator : random.Random, optional
        Source of random numbers.
    """

    def __init__(self, generator=None):
        self._random = generator or random.Random()

    def choose_chain(self, table, model, demand):
        """Return any chain that covers the model."""
        chains = enumerate_chains(
            model, model.serving, usable_stages(table, model, demand)
        )
        if not chains:
            raise no_chain(model)
        return self._random.choice(chains)

    def choose_target(self, table, demand):
        """Return any usable target."""
        targets = usable_targets(table, demand)
        return self._random.choice(targets)


def usable_stages(table, model, demand):
    """Return stages of the serving version that may get new work."""
    return [
        Stage(t.name, t.address, t.availability_zone, t.first, t.last)
        for t in table.usable(demand.scope, demand.group)
        if t.first is not None
        and t.version == model.serving
        and t.name not in demand.excluded
    ]


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
        raise NoTargetError(
            f"no target of group {demand.group!r} is up",
            "try again later",
            retry_after=1,
        )
    return targets


def no_chain(model):
    """Return the error for a model that no chain covers."""
    return NoTargetError(
        f"no chain of targets covers model {model.name!r}",
        "try again later",
        retry_after=1,
    )
