"""Which layers each accelerator of an availability zone should hold.

Accelerators are sorted by speed and cut into groups of neighbours. Each
group holds the whole model once, every member the same share of its
memory, so that all have room for the same number of tokens. What is left
over holds parts a second time. docs/design/users-platform.md weighs this.
"""

import functools

import msgspec

from apricotseam.fleet import LayerRange

# Share of memory that weights may take in a whole copy, and in a spare.
MAX_WEIGHT_SHARE = 0.85
SPARE_WEIGHT_SHARE = 0.82
# A copy on few accelerators is lost with any of them.
MIN_SERVED_SHARE = 0.02


class Card(msgspec.Struct, frozen=True):
    """One accelerator that may hold layers."""

    identity: str
    memory_mb: float
    step_factor: float
    read_factor: float


def plan_zone(cards, profile, model):
    """Return the layers that each accelerator should hold.

    Parameters
    ----------
    cards : list of Card
        The accelerators of one availability zone.
    profile : EngineProfile
        The model they run.
    model : ChainModel
        Estimates of chains.

    Returns
    -------
    dict of str to LayerRange
        By identity; accelerators without a use are left out.

    Examples
    --------
    >>> from apricotseam.chains import ChainModel
    >>> from apricotseam.routes import EngineProfile
    >>> profile = EngineProfile(
    ...     layers=4, layer_mb=10.0, token_bytes=4000.0, kinds=(),
    ...     slots=8, step_ms=1.0)
    >>> cards = [Card("a", 30.0, 1.0, 1.0), Card("b", 30.0, 1.0, 1.0)]
    >>> plan = plan_zone(cards, profile, ChainModel(profile))
    >>> sorted((r.first, r.last) for r in plan.values())
    [(0, 2), (2, 4)]
    """
    ordered = sorted(
        cards, key=lambda c: (c.step_factor, -c.memory_mb, c.identity)
    )
    groups = _best_groups(tuple(ordered), profile, model)
    plan = {}
    for group in groups:
        plan.update(_spread(group, profile))
    used = set(plan)
    spares = [card for card in ordered if card.identity not in used]
    plan.update(_place_spares(spares, profile))
    return plan


def _best_groups(cards, profile, model):
    """Cut a sorted row of cards into the groups that serve the most."""

    @functools.cache
    def best(start):
        found = (0.0, ())
        for end in range(start + 1, len(cards) + 1):
            rate = _group_rate(cards[start:end], profile, model)
            if not rate:
                continue
            rest_rate, rest = best(end)
            total = rate + rest_rate
            if total > found[0] * (1 + MIN_SERVED_SHARE):
                found = (total, ((start, end), *rest))
        return found

    return [cards[start:end] for start, end in best(0)[1]]


def _group_rate(cards, profile, model):
    memory = sum(card.memory_mb for card in cards)
    share = profile.layers * profile.layer_mb / memory
    if share > MAX_WEIGHT_SHARE:
        return 0.0
    counts = _layer_counts(cards, profile)
    if counts is None:
        return 0.0
    parts = []
    units = []
    for card, layers in zip(cards, counts):
        if not layers:
            continue
        parts.append((card.step_factor, card.read_factor, layers))
        capacity = profile.capacity_units(card.memory_mb, layers)
        units.append(capacity / layers)
    return model.served_rate(parts, min(units))


def _layer_counts(cards, profile):
    """Split the layers in proportion to memory, or None if they don't fit."""
    memory = sum(card.memory_mb for card in cards)
    exact = [profile.layers * card.memory_mb / memory for card in cards]
    counts = [int(value) for value in exact]
    by_rest = sorted(range(len(cards)), key=lambda i: counts[i] - exact[i])
    for i in by_rest[: profile.layers - sum(counts)]:
        counts[i] += 1
    for card, layers in zip(cards, counts):
        if layers * profile.layer_mb > MAX_WEIGHT_SHARE * card.memory_mb:
            return None
    return counts


def _spread(cards, profile):
    plan = {}
    first = 0
    for card, layers in zip(cards, _layer_counts(cards, profile)):
        if layers:
            plan[card.identity] = LayerRange(first, first + layers)
        first += layers
    return plan


def _place_spares(cards, profile):
    """Lay spare cards end to end, from the last layer to the first.

    The last layers are on the smallest members of a group, so that the
    most members are covered whole.
    """
    plan = {}
    last = profile.layers
    for card in sorted(cards, key=lambda c: -c.memory_mb):
        layers = int(card.memory_mb * SPARE_WEIGHT_SHARE / profile.layer_mb)
        layers = min(layers, profile.layers)
        if layers < 1:
            continue
        if last <= 0:
            last = profile.layers
        first = max(0, last - layers)
        plan[card.identity] = LayerRange(first, first + layers)
        last = first
    return plan
