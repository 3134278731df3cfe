"""Capacity of a pool, estimated from the reports of its targets."""

import msgspec

# Factor on the streams that Little's law gives.
CAPACITY_ALLOWANCE = 1.5


class PoolCapacity(msgspec.Struct, frozen=True, kw_only=True):
    """Tokens per second and concurrent streams that a pool can serve.

    ``token_seconds`` is the time in seconds that one token takes through
    all layers of a chain.
    """

    tokens_per_second: float
    streams: float
    token_seconds: float


def pool_capacity(targets):
    """Return the `PoolCapacity` of a group of targets.

    The layer with the lowest throughput limits the token rate. By Little's
    law the number of concurrent streams is the token rate times the time
    per token.

    Parameters
    ----------
    targets : list of TargetState
        Targets of one group.

    Returns
    -------
    PoolCapacity or None
        None if no target has reported its batch size and step time, or if
        the targets that have do not cover a contiguous range of layers.
    """
    reporting = [t for t in targets if t.max_batch and t.step_seconds > 0]
    if not reporting:
        return None
    bounds = sorted(
        {t.first for t in reporting} | {t.last + 1 for t in reporting}
    )
    token_rates = []
    token_seconds = 0.0
    for low, high in zip(bounds, bounds[1:], strict=False):
        covering = [
            t for t in reporting if t.first <= low and high <= t.last + 1
        ]
        if not covering:
            return None
        token_rates.append(sum(t.max_batch / t.step_seconds for t in covering))
        per_layer = [t.step_seconds / (t.last - t.first + 1) for t in covering]
        token_seconds += (high - low) * sum(per_layer) / len(covering)
    tokens = min(token_rates)
    return PoolCapacity(
        tokens_per_second=tokens,
        streams=tokens * token_seconds * CAPACITY_ALLOWANCE,
        token_seconds=token_seconds,
    )
