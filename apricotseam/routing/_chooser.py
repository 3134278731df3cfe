"""Interface of choosers, and helpers that find usable targets."""

import abc
import collections
import random

import msgspec

from apricotseam.errors import NoTargetError
from apricotseam.pipelines import Stage


class Demand(msgspec.Struct, frozen=True, kw_only=True):
    """Requirements of a request for a pool of targets.

    ``scope`` and ``group`` name the pool. ``prefix`` is a digest of the
    beginning of the prompt. It includes the customer unless the pipeline
    shares prefixes. ``tokens`` is the maximum length of the answer and
    ``prompt_tokens`` the length of the prompt, both in tokens. ``excluded``
    names targets that this request must not use again.
    """

    scope: str
    group: str
    customer: str
    prefix: str = ""
    tokens: int = 1
    prompt_tokens: int = 0
    excluded: frozenset[str] = frozenset()


class TargetLoad(msgspec.Struct, frozen=True, kw_only=True):
    """Load that a target reported.

    ``running`` is the number of streams in progress and ``max_batch`` the
    number of steps that the target runs at once. ``step_seconds`` is the
    duration of a step. ``read_at`` is the monotonic time of the report in
    seconds.
    """

    running: int
    max_batch: int
    step_seconds: float
    read_at: float


class Chooser(abc.ABC):
    """Chooses chains and targets from a target table.

    The router reports the results of its choices and the state of targets
    through the other methods. Their default implementations do nothing.
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
        """Return the `TargetState` of a usable target of a plain service.

        Raises
        ------
        NoTargetError
            If no target is usable.
        """

    def started(self, address):
        """Record that a stream or call started at a target."""

    def ended(self, address):
        """Record that a stream or call ended at a target."""

    def observed(self, address, is_success, seconds):
        """Record the result and duration of a batch of steps or a call."""

    def reported(self, address, load):
        """Record the `TargetLoad` that a target reported."""

    def cache_changed(self, address, events):
        """Apply `CacheEvent` records of an engine."""

    def prefix_sent(self, address, prefix):
        """Record that a prefix was sent to an engine."""

    def event_sequence(self, address):
        """Return the sequence number of an engine's last event, or 0."""
        return 0

    def watched(self, table):
        """Return the targets whose reports and events this host reads."""
        return [t for t in table.all if not t.leaving]


class VersionChooser:
    """Chooses the version of a request while a rollout is in progress.

    While targets hold several declared versions, each request picks a
    version at random, weighted by the number of targets that hold it. This
    keeps the first chain of a new version and the last chain of an old one
    from being overloaded.

    Parameters
    ----------
    generator : random.Random, optional
        Source of random numbers.
    """

    def __init__(self, generator=None):
        self._random = generator or random.Random()

    def choose(self, chooser, table, model, demand):
        """Return a `Chain` whose stages all hold the same version.

        Raises
        ------
        NoTargetError
            If no declared version has a chain.
        """
        versions = self._order_versions(table, model, demand)
        for version in versions[:-1]:
            requested = msgspec.structs.replace(model, serving=version)
            try:
                return chooser.choose_chain(table, requested, demand)
            except NoTargetError:
                continue
        requested = msgspec.structs.replace(model, serving=versions[-1])
        return chooser.choose_chain(table, requested, demand)

    def _order_versions(self, table, model, demand):
        """Return the versions to try, in order.

        The first is chosen at random and the serving version comes next.
        """
        counts = collections.Counter(
            target.version
            for target in table.usable(demand.scope, demand.group)
            if target.version in model.versions
        )
        if set(counts) <= {model.serving}:
            return [model.serving]
        names = sorted(counts)
        first = self._random.choices(names, [counts[n] for n in names])[0]
        others = sorted(counts, key=lambda n: (n != model.serving, n))
        return [first, *(name for name in others if name != first)]


def usable_stages(table, model, demand):
    """Return the stages of the serving version that may get new work."""
    return [
        stage_of(target)
        for target in table.usable(demand.scope, demand.group)
        if target.first is not None
        and target.version == model.serving
        and target.name not in demand.excluded
    ]


def stage_of(target):
    """Return the `Stage` that a target holds."""
    return Stage(
        target.name,
        target.address,
        target.availability_zone,
        target.first,
        target.last,
    )


def usable_targets(table, demand):
    """Return the targets that may get new work.

    Raises
    ------
    NoTargetError
        If there are none.
    """
    targets = [
        target
        for target in table.usable(demand.scope, demand.group)
        if target.name not in demand.excluded
    ]
    if not targets:
        raise no_target_error(demand)
    return targets


def no_target_error(demand):
    """Return the error for a group without a usable target."""
    return NoTargetError(
        f"no usable target in group {demand.group!r}",
        "try again later",
        retry_after=1,
    )


def no_chain_error(model):
    """Return the error for a model that no chain covers."""
    return NoTargetError(
        f"no chain of usable targets covers model {model.name!r}",
        "try again later",
        retry_after=1,
    )
