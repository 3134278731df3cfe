"""Capacity of a pool from what its targets report."""

import msgspec

CAPACITY_ALLOWANCE = 1.5


class PoolCapacity(msgspec.Struct, frozen=True, kw_only=True):
    """Tokens a second and streams that a pool can carry.

    ``token_seconds`` is the time of a token through a whole chain.
    """

    tokens_per_second: float
    streams: float
    token_seconds: float


def pool_capacity(targets):
    """Return the `PoolCapacity` of engines, or None if none reported.

    The layer with the least capacity bounds the tokens; by Little's law
    the streams are the tokens a second times the time of a token.

    Parameters
    ----------
    targets : list of TargetState
        Targets of one group.

    Returns
    -------
    PoolCapacity or None
    """
    known = [t for t in targets if t.max_batch and t.step_seconds > 0]
    if not known:
        return None
    bounds = sorted({t.first for t in known} | {t.last + 1 for t in known})
    rates = []
    token_seconds = 0.0
    for low, high in zip(bounds, bounds[1:], strict=False):
        over = [t for t in known if t.first <= low and high <= t.last + 1]
        if not over:
            return None
        rates.append(sum(t.max_batch / t.step_seconds for t in over))
        per_layer = [t.step_seconds / (t.last - t.first + 1) for t in over]
        token_seconds += (high - low) * sum(per_layer) / len(over)
    tokens = min(rates)
    return PoolCapacity(
        tokens_per_second=tokens,
        streams=tokens * token_seconds * CAPACITY_ALLOWANCE,
        token_seconds=token_seconds,
    )
