"""Which accelerator holds which layers, and which moves earn their cost."""

import math

import msgspec

from apricotseam.pipelines._chain import Stage
from apricotseam.pipelines._planner import flow_bound

HORIZON_SECONDS = 600.0
MIN_GAIN_SHARE = 0.05
MAX_MOVES = 16
SECONDS_PER_MINUTE = 60.0


class Holder(msgspec.Struct, frozen=True, kw_only=True):
    """An accelerator that can hold a range of layers.

    ``first`` and ``last`` are None while it holds none; a fixed one is
    not moved.
    """

    target: str
    availability_zone: str
    layer_tokens_per_second: float
    memory_layers: int
    first: int | None = None
    last: int | None = None
    is_fixed: bool = False


class Move(msgspec.Struct, frozen=True, kw_only=True):
    """A load of other layers.

    ``gain`` is in tokens per second; ``not_before`` is the monotonic time
    at which the weight store may be asked.
    """

    target: str
    first: int
    last: int
    gain: float
    not_before: float


class Placement(msgspec.Struct, frozen=True, kw_only=True):
    """Moves in order, and tokens per second before and after them."""

    moves: tuple[Move, ...]
    before: float
    after: float


def plan_placement(
    model, holders, links, loads_per_minute, now, max_moves=MAX_MOVES
):
    """Return the moves that raise the flow by more than they cost.

    Holders without layers are given some first. A holder that serves is
    moved only if the flow rises by a share and if the tokens gained until
    the horizon outweigh those lost while it loads. Moves follow each
    other as the weight store's limit allows.

    Parameters
    ----------
    model : Model
        The model with its number of layers.
    holders : list of Holder
        Accelerators that are up.
    links : dict of frozenset to float
        Tokens per second between pairs of zones.
    loads_per_minute : float
        Limit of the weight store.
    now : float
        Monotonic time in seconds.
    max_moves : int
        Bound on the number of moves.

    Returns
    -------
    Placement
    """
    search = _Search(model, holders, links)
    before = search.flow()
    load_seconds = SECONDS_PER_MINUTE / loads_per_minute
    moves = []
    while len(moves) < max_moves:
        wait = load_seconds * len(moves)
        found = search.best_move(wait + load_seconds)
        if found is None:
            break
        holder, layers, gain = found
        search.apply(holder, layers)
        moves.append(
            Move(
                target=holder.target,
                first=layers[0],
                last=layers[1],
                gain=gain,
                not_before=now + wait,
            )
        )
    return Placement(moves=tuple(moves), before=before, after=search.flow())


class _Search:
    """Greedy search over single moves."""

    def __init__(self, model, holders, links):
        self._model = model
        self._holders = {holder.target: holder for holder in holders}
        self._links = links
        self._moved = set()

    def apply(self, holder, layers):
        """Take a move as done."""
        self._holders[holder.target] = _placed(holder, layers)
        self._moved.add(holder.target)

    def flow(self, changed=None):
        """Return tokens per second, with one holder changed."""
        holders = dict(self._holders)
        if changed is not None:
            holders[changed.target] = changed
        stages = []
        rates = {}
        for holder in holders.values():
            if holder.first is None:
                continue
            zone = holder.availability_zone
            stage = Stage(holder.target, "", zone, holder.first, holder.last)
            stages.append(stage)
            rates[holder.target] = _rate(holder)
        return flow_bound(self._model, stages, rates, self._links)

    def best_move(self, cost_seconds):
        """Return holder, layers and gain of the best move, or None."""
        before = self.flow()
        _, spread = self._layers(None)
        best = None
        for holder in self._representatives():
            lost = None
            for layers in self._ranges(holder):
                changed = _placed(holder, layers)
                scarcest, evenness = self._layers(changed)
                evenness -= spread
                if not _may_be_worth(holder, scarcest, before):
                    continue
                gain = 0.0
                if scarcest > before:
                    gain = self.flow(changed) - before
                if lost is None:
                    lost = before - self.flow(_placed(holder, (None, None)))
                if not _is_worth(
                    holder, gain, evenness, before, lost * cost_seconds
                ):
                    continue
                value = (gain, evenness)
                if best is None or value > best[0]:
                    best = (value, (holder, layers, gain))
        return best[1] if best else None

    def _representatives(self):
        """Return one holder of each set of equal ones; none twice."""
        alike = {}
        for holder in self._holders.values():
            is_free = holder.first is None or not holder.is_fixed
            if is_free and holder.target not in self._moved:
                key = msgspec.structs.astuple(holder)[1:]
                alike.setdefault(key, holder)
        return alike.values()

    def _ranges(self, holder):
        layers = self._model.layers
        bounds = {0, layers}
        for other in self._holders.values():
            bounds.update(range(0, layers, other.memory_layers))
            if other.first is not None:
                bounds.update((other.first, other.last + 1))
        ordered = sorted(bounds)
        return [
            (first, end - 1)
            for first in ordered
            for end in ordered
            if 0 < end - first <= holder.memory_layers
            and (first, end - 1) != (holder.first, holder.last)
        ]

    def _layers(self, changed):
        """Return the scarcest layer's rate and how evenly all are held."""
        rates = [0.0] * self._model.layers
        for holder in self._holders.values():
            if changed is not None and holder.target == changed.target:
                holder = changed
            if holder.first is None:
                continue
            for layer in range(holder.first, holder.last + 1):
                rates[layer] += _rate(holder)
        return min(rates), sum(math.log1p(rate) for rate in rates)


def _may_be_worth(holder, scarcest, before):
    """Return whether a move can be worth it; no flow is computed."""
    if holder.first is None or before <= 0.0:
        return True
    return scarcest >= (1.0 + MIN_GAIN_SHARE) * before


def _is_worth(holder, gain, evenness, before, cost):
    if holder.first is None:
        return gain > 0.0 or (gain == 0.0 and evenness > 0.0)
    if before <= 0.0:
        return gain > 0.0 or evenness > 1.0
    is_enough = gain >= MIN_GAIN_SHARE * before
    return is_enough and gain * HORIZON_SECONDS > cost


def _rate(holder):
    held = holder.last - holder.first + 1
    return holder.layer_tokens_per_second / held


def _placed(holder, layers):
    return msgspec.structs.replace(holder, first=layers[0], last=layers[1])
