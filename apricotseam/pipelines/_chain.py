"""Chains of pipeline stages that cover each layer of a model once."""

import msgspec


class Stage(msgspec.Struct, frozen=True):
    """A target that runs layers ``first`` to ``last``, both included."""

    target: str
    address: str
    availability_zone: str
    first: int
    last: int


class Chain(msgspec.Struct, frozen=True):
    """Stages of one model version in layer order."""

    model: str
    version: str
    stages: tuple[Stage, ...]

    def covers(self, layers):
        """Return whether layers 0 to ``layers - 1`` run once, in order.

        Examples
        --------
        >>> stage = Stage("a", "127.0.0.1:1", "z", 0, 3)
        >>> Chain("m", "v", (stage,)).covers(4)
        True
        >>> Chain("m", "v", (stage, stage)).covers(4)
        False
        """
        expected = 0
        for stage in self.stages:
            if stage.first != expected:
                return False
            expected = stage.last + 1
        return expected == layers


def enumerate_chains(model, version, stages, limit=64):
    """Return chains of the given stages that cover all layers.

    Parameters
    ----------
    model : Model
        The model with its number of layers.
    version : str
        Model version that all stages hold.
    stages : list of Stage
        Available stages.
    limit : int
        Maximum number of chains to return.

    Returns
    -------
    list of Chain
    """
    by_first = {}
    for stage in stages:
        by_first.setdefault(stage.first, []).append(stage)
    chains = []
    pending = [()]
    while pending and len(chains) < limit:
        prefix = pending.pop()
        next_layer = prefix[-1].last + 1 if prefix else 0
        if next_layer == model.layers:
            chains.append(Chain(model.name, version, prefix))
            continue
        for stage in reversed(by_first.get(next_layer, [])):
            pending.append((*prefix, stage))
    return chains
