"""Placement of layers on accelerators, weighed against load cost."""

import math

import msgspec

from apricotseam.pipelines._chain import Stage
from apricotseam.pipelines._planner import max_flow_rate

PAYBACK_HORIZON_SECONDS = 600.0
MIN_GAIN_FRACTION = 0.05
MAX_MOVES = 16
SECONDS_PER_MINUTE = 60.0


class Holder(msgspec.Struct, frozen=True, kw_only=True):
    """An accelerator that can hold a range of layers.

    ``first`` and ``last`` are the range, or None while it holds no
    layers. If ``is_fixed``, the range is never changed.
    """

    target: str
    availability_zone: str
    layer_tokens_per_second: float
    memory_layers: int
    first: int | None = None
    last: int | None = None
    is_fixed: bool = False


class Move(msgspec.Struct, frozen=True, kw_only=True):
    """Assignment of a new layer range to a target.

    ``gain`` is the added flow in tokens per second; ``not_before`` is the
    earliest monotonic time in seconds to load from the weight store.
    """

    target: str
    first: int
    last: int
    gain: float
    not_before: float


class Placement(msgspec.Struct, frozen=True, kw_only=True):
    """Moves in order, and the flow before and after in tokens per second."""

    moves: tuple[Move, ...]
    before: float
    after: float


def plan_placement(
    model, holders, links, loads_per_minute, now, max_moves=MAX_MOVES
):
    """Return the moves whose gain in flow exceeds their cost.

    Holders without layers are assigned a range whenever that adds flow
    or balance. A holder that serves is moved only if the flow rises by
    at least ``MIN_GAIN_FRACTION`` and the tokens gained within
    ``PAYBACK_HORIZON_SECONDS`` outnumber those lost while it loads. The
    moves are spaced by the load rate limit of the weight store.

    Parameters
    ----------
    model : Model
        The model with its number of layers.
    holders : list of Holder
        Available accelerators.
    links : dict of frozenset to float
        Capacity between pairs of zones in tokens per second.
    loads_per_minute : float
        Load rate limit of the weight store.
    now : float
        Monotonic time in seconds.
    max_moves : int
        Maximum number of moves.

    Returns
    -------
    Placement
    """
    search = _GreedySearch(model, holders, links)
    before = search.flow()
    load_seconds = SECONDS_PER_MINUTE / loads_per_minute
    moves = []
    while len(moves) < max_moves:
        delay = load_seconds * len(moves)
        candidate = search.best_move(delay + load_seconds)
        if candidate is None:
            break
        holder, layers, gain = candidate
        search.apply(holder, layers)
        moves.append(
            Move(
                target=holder.target,
                first=layers[0],
                last=layers[1],
                gain=gain,
                not_before=now + delay,
            )
        )
    return Placement(moves=tuple(moves), before=before, after=search.flow())


class _GreedySearch:
    """Greedy search that picks the best single move at a time."""

    def __init__(self, model, holders, links):
        self._model = model
        self._holders = {holder.target: holder for holder in holders}
        self._links = links
        self._moved = set()

    def apply(self, holder, layers):
        """Record a move; its holder is not moved again."""
        self._holders[holder.target] = _with_layers(holder, layers)
        self._moved.add(holder.target)

    def flow(self, changed=None):
        """Return the flow in tokens per second.

        If ``changed`` is given, it takes the place of the holder of the
        same target.
        """
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
            rates[holder.target] = _stage_rate(holder)
        return max_flow_rate(self._model, stages, rates, self._links)

    def best_move(self, cost_seconds):
        """Return holder, layers and gain of the best move, or None.

        A load takes its holder out of service for ``cost_seconds``.
        """
        before = self.flow()
        _, current_balance = self._layer_balance(None)
        best = None
        for holder in self._distinct_holders():
            lost_flow = None
            for layers in self._candidate_ranges(holder):
                changed = _with_layers(holder, layers)
                min_rate, balance = self._layer_balance(changed)
                balance -= current_balance
                if not _can_pay_off(holder, min_rate, before):
                    continue
                gain = 0.0
                if min_rate > before:
                    gain = self.flow(changed) - before
                if lost_flow is None:
                    lost_flow = before - self.flow(
                        _with_layers(holder, (None, None))
                    )
                if not _pays_off(
                    holder, gain, balance, before, lost_flow * cost_seconds
                ):
                    continue
                score = (gain, balance)
                if best is None or score > best[0]:
                    best = (score, (holder, layers, gain))
        return best[1] if best else None

    def _distinct_holders(self):
        """Return one of each set of equal movable holders.

        Holders that were moved before are left out.
        """
        by_properties = {}
        for holder in self._holders.values():
            is_movable = holder.first is None or not holder.is_fixed
            if is_movable and holder.target not in self._moved:
                key = msgspec.structs.astuple(holder)[1:]
                by_properties.setdefault(key, holder)
        return by_properties.values()

    def _candidate_ranges(self, holder):
        layers = self._model.layers
        boundaries = {0, layers}
        for other in self._holders.values():
            boundaries.update(range(0, layers, other.memory_layers))
            if other.first is not None:
                boundaries.update((other.first, other.last + 1))
        ordered = sorted(boundaries)
        return [
            (first, end - 1)
            for first in ordered
            for end in ordered
            if 0 < end - first <= holder.memory_layers
            and (first, end - 1) != (holder.first, holder.last)
        ]

    def _layer_balance(self, changed):
        """Return the lowest rate of any layer and a measure of balance.

        The balance is the sum of log(1 + rate) over all layers, which
        grows most where the rate is lowest.
        """
        rates = [0.0] * self._model.layers
        for holder in self._holders.values():
            if changed is not None and holder.target == changed.target:
                holder = changed
            if holder.first is None:
                continue
            for layer in range(holder.first, holder.last + 1):
                rates[layer] += _stage_rate(holder)
        return min(rates), sum(math.log1p(rate) for rate in rates)


def _can_pay_off(holder, min_rate, before):
    """Return whether a move can pay off, without computing a flow.

    The rate of the scarcest layer is an upper bound on the flow.
    """
    if holder.first is None or before <= 0.0:
        return True
    return min_rate >= (1.0 + MIN_GAIN_FRACTION) * before


def _pays_off(holder, gain, balance, before, cost):
    """Return whether a move is worth its load.

    Parameters
    ----------
    holder : Holder
        The holder before the move.
    gain : float
        Added flow in tokens per second.
    balance : float
        Increase of the measure of balance.
    before : float
        Flow before the move in tokens per second.
    cost : float
        Number of tokens lost while the holder loads.
    """
    if holder.first is None:
        return gain > 0.0 or (gain == 0.0 and balance > 0.0)
    if before <= 0.0:
        return gain > 0.0 or balance > 1.0
    is_large_enough = gain >= MIN_GAIN_FRACTION * before
    return is_large_enough and gain * PAYBACK_HORIZON_SECONDS > cost


def _stage_rate(holder):
    layer_count = holder.last - holder.first + 1
    return holder.layer_tokens_per_second / layer_count


def _with_layers(holder, layers):
    return msgspec.structs.replace(holder, first=layers[0], last=layers[1])
