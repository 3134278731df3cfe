"""The cheapest chain over targets that hold ranges of layers."""

import heapq
import math

import msgspec

from apricotseam.fleet import LayerRange

# A chain of more parts is refused by the engines.
MAX_STAGES = 32
HOP_COST_MS = 0.6
ZONE_CROSSING_COST_MS = 30.0


class Holder(msgspec.Struct, frozen=True):
    """A target that may run a part of a chain.

    ``layer_cost`` is the cost of one layer in milliseconds, ``free_tokens``
    what it has room for, in each of its layers, if it ran all of them.
    """

    identity: str
    address: str
    zone: str
    layers: LayerRange
    layer_cost: float
    free_units: float


class ChainStage(msgspec.Struct, frozen=True):
    """One part of a chain that was chosen."""

    holder: Holder
    layers: LayerRange


def find_chain(holders, layers, tokens, first=0, most_cost=math.inf):
    """Return the cheapest chain that has room, or None.

    Parameters
    ----------
    holders : list of Holder
        Targets that may be used.
    layers : int
        Number of layers of the model.
    tokens : float
        Tokens that the request will hold.
    first : int
        Layer at which the chain begins.
    most_cost : float
        Cost in milliseconds above which no chain is wanted.

    Returns
    -------
    tuple of ChainStage or None

    Examples
    --------
    >>> a = Holder("a", "h:1", "z", LayerRange(0, 3), 1.0, 99.0)
    >>> b = Holder("b", "h:2", "z", LayerRange(2, 4), 1.0, 99.0)
    >>> [s.layers.last for s in find_chain([a, b], 4, 1.0)]
    [2, 4]
    >>> find_chain([a], 4, 1.0) is None
    True
    >>> find_chain([a, b], 4, 1.0, most_cost=4.0) is None
    True
    """
    cuts = sorted(
        {holder.layers.first for holder in holders}
        | {holder.layers.last for holder in holders}
    )
    # Cost, next layer, holder that ran the part before, way back.
    queue = [(0.0, first, 0, -1, None)]
    best = {}
    count = 0
    while queue:
        cost, position, _, last, back = heapq.heappop(queue)
        if cost > most_cost:
            return None
        if position >= layers:
            return _trace(back)
        if best.get((position, last), cost + 1) <= cost:
            continue
        best[(position, last)] = cost
        for index, holder in enumerate(holders):
            if index == last or not (
                holder.layers.first <= position < holder.layers.last
            ):
                continue
            if _was_used(back, holder):
                continue
            hop = _hop_cost(holders[last] if last >= 0 else None, holder)
            for end in cuts:
                if not position < end <= holder.layers.last:
                    continue
                part = end - position
                if holder.free_units < tokens * part:
                    break
                count += 1
                added = hop + part * holder.layer_cost
                stage = ChainStage(holder, LayerRange(position, end))
                heapq.heappush(
                    queue, (cost + added, end, count, index, (stage, back))
                )
    return None


def _hop_cost(before, holder):
    if before is None or before.zone == holder.zone:
        return HOP_COST_MS
    return ZONE_CROSSING_COST_MS


def _was_used(back, holder):
    while back is not None:
        stage, back = back
        if stage.holder is holder:
            return True
    return False


def _trace(back):
    stages = []
    while back is not None:
        stage, back = back
        stages.append(stage)
    stages.reverse()
    return tuple(stages) if len(stages) <= MAX_STAGES else None
