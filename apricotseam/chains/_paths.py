"""Search for the cheapest chain of targets that hold ranges of layers."""

import collections
import heapq
import math

import msgspec

from apricotseam.fleet import LayerRange

# Engines refuse a chain with more stages.
MAX_STAGES = 32
# Costs of passing from one stage to the next in the same availability zone
# and in another one.
HOP_COST_MS = 0.6
ZONE_CROSSING_COST_MS = 30.0
# Paths to the same position and zone that are kept if they use different
# targets. A chain is missed only if it returns to targets of all of them.
MAX_PATHS = 4


class Holder(msgspec.Struct, frozen=True):
    """A target that may run a stage of a chain.

    ``layers`` is the range that it holds. ``layer_cost_ms`` is the cost of
    one layer in milliseconds. ``free_units`` is the free memory in tokens
    times layers.
    """

    identity: str
    address: str
    zone: str
    layers: LayerRange
    layer_cost_ms: float
    free_units: float


class ChainStage(msgspec.Struct, frozen=True):
    """One stage of a chosen chain: the layers that a holder runs."""

    holder: Holder
    layers: LayerRange


def covers_layers(ranges, layers, first=0):
    """Return whether ranges together hold all layers of a model.

    Parameters
    ----------
    ranges : iterable of LayerRange
        Layers that targets hold.
    layers : int
        Number of layers of the model.
    first : int
        First layer that has to be held.

    Examples
    --------
    >>> covers_layers([LayerRange(2, 4), LayerRange(0, 3)], 4)
    True
    >>> covers_layers([LayerRange(2, 4), LayerRange(0, 1)], 4)
    False
    """
    position = first
    for held in sorted(ranges):
        if position >= layers or held.first > position:
            break
        position = max(position, held.last)
    return position >= layers


def find_chain(holders, layers, tokens, first=0, max_cost_ms=math.inf):
    """Return the cheapest chain with enough free memory, or None.

    Parameters
    ----------
    holders : list of Holder
        Targets that may be used.
    layers : int
        Number of layers of the model.
    tokens : float
        Number of tokens that the request will hold.
    first : int
        First layer of the chain; the last is that of the model.
    max_cost_ms : float
        Largest acceptable cost in milliseconds.

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
    >>> find_chain([a, b], 4, 1.0, max_cost_ms=4.0) is None
    True
    """
    usable = [h for h in holders if h.free_units >= tokens]
    if not covers_layers((h.layers for h in usable), layers, first):
        return None
    least_cost = min((h.layer_cost_ms for h in usable), default=0.0)
    stages_by_position = {}
    paths = _OpenPaths(max_cost_ms, layers, least_cost)
    paths.add(_Path(first, None, frozenset(), None, None), 0.0)
    while (cheapest := paths.pop()) is not None:
        cost, path = cheapest
        if path.position >= layers:
            return _stages_of(path)
        if path.position not in stages_by_position:
            stages_by_position[path.position] = _stages_from(
                path.position, usable, tokens
            )
        for stage, stage_cost in stages_by_position[path.position]:
            holder = stage.holder
            if (holder.identity, holder.layers.last) not in path.in_use:
                hop = _hop_cost(path.zone, holder.zone)
                paths.add_stage(path, stage, cost + hop + stage_cost)
    return None


class _Path:
    """Stages up to a position, as the last one and the path before it.

    ``zone`` is that of the last stage, None before the first. ``in_use``
    are the targets on the path that hold layers from the position on, as
    identities and ends of their layers; a chain may not return to them.
    """

    __slots__ = ("before", "in_use", "position", "stage", "zone")

    def __init__(self, position, zone, in_use, stage, before):
        self.position = position
        self.zone = zone
        self.in_use = in_use
        self.stage = stage
        self.before = before


class _OpenPaths:
    """Paths to be continued, first the one that may end at the least cost.

    That is the cost so far plus that of the layers that remain, if all are
    run by the cheapest target. A path replaces a dearer one to the same
    position and zone if it uses no further target that could still be
    needed. At most `MAX_PATHS` are continued from each position and zone,
    which bounds the work.

    Parameters
    ----------
    max_cost_ms : float
        Largest acceptable cost in milliseconds.
    layers : int
        Number of layers of the model.
    layer_cost_ms : float
        Cost of a layer on the cheapest target, in milliseconds.
    """

    def __init__(self, max_cost_ms, layers, layer_cost_ms):
        self._max_cost_ms = max_cost_ms
        self._layers = layers
        self._layer_cost_ms = layer_cost_ms
        self._queue = []
        # Targets in use of the paths that were returned, by position and
        # zone, and the least cost of a path that no target excludes.
        self._continued = collections.defaultdict(list)
        self._least_cost = {}
        # Number of paths so far, which orders those of equal cost.
        self._count = 0

    def add(self, path, cost):
        """Add a path unless it is too expensive or another replaces it."""
        if not self._is_useful(path.position, path.zone, cost):
            return
        if not path.in_use:
            self._least_cost[path.position, path.zone] = cost
        self._count += 1
        end_cost = cost + self._remaining_cost(path.position)
        heapq.heappush(self._queue, (end_cost, self._count, cost, path))

    def add_stage(self, path, stage, cost):
        """Add a path that continues another one by a stage."""
        holder = stage.holder
        end = stage.layers.last
        if not self._is_useful(end, holder.zone, cost):
            return
        in_use = path.in_use
        if in_use or end < holder.layers.last:
            found = (*in_use, (holder.identity, holder.layers.last))
            in_use = frozenset(pair for pair in found if pair[1] > end)
        self.add(_Path(end, holder.zone, in_use, stage, path), cost)

    def pop(self):
        """Remove the cheapest path; return its cost and it, or None."""
        while self._queue:
            _, _, cost, path = heapq.heappop(self._queue)
            continued = self._continued[path.position, path.zone]
            if len(continued) >= MAX_PATHS:
                continue
            if not any(in_use <= path.in_use for in_use in continued):
                continued.append(path.in_use)
                return cost, path
        return None

    def _is_useful(self, position, zone, cost):
        """Return whether a path to a position and zone may be continued."""
        place = (position, zone)
        return (
            cost + self._remaining_cost(position) <= self._max_cost_ms
            and cost < self._least_cost.get(place, math.inf)
            and len(self._continued[place]) < MAX_PATHS
        )

    def _remaining_cost(self, position):
        """Return the least cost of a path from a position to the end."""
        if position >= self._layers:
            return 0.0
        return (self._layers - position) * self._layer_cost_ms + HOP_COST_MS


def _stages_from(position, holders, tokens):
    """Return the possible stages from a position on and their costs."""
    boundaries = sorted(
        {holder.layers.first for holder in holders}
        | {holder.layers.last for holder in holders}
    )
    stages = []
    for holder in holders:
        if not holder.layers.first <= position < holder.layers.last:
            continue
        for end in boundaries:
            if not position < end <= holder.layers.last:
                continue
            count = end - position
            if holder.free_units < tokens * count:
                break
            stages.append(
                (
                    ChainStage(holder, LayerRange(position, end)),
                    count * holder.layer_cost_ms,
                )
            )
    return stages


def _hop_cost(zone, next_zone):
    """Return the cost of passing on to a holder, in milliseconds."""
    if zone is None or zone == next_zone:
        return HOP_COST_MS
    return ZONE_CROSSING_COST_MS


def _stages_of(path):
    """Return the stages of a path in order, or None if there are too many."""
    stages = []
    while path.stage is not None:
        stages.append(path.stage)
        path = path.before
    stages.reverse()
    return tuple(stages) if len(stages) <= MAX_STAGES else None
