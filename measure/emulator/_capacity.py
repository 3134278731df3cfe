"""Request rate that a layout of layers can serve on time."""

import msgspec

from apricotseam.chains import ChainModel
from apricotseam.chains import find_chain
from apricotseam.chains import Holder


class Capacity(msgspec.Struct, frozen=True):
    """What a layout can take.

    ``requests_per_second`` is served on time by its chains together,
    ``tokens`` fit in the memory of the scarcest layer.
    """

    requests_per_second: float
    tokens: float


def estimate_capacity(records, profile):
    """Return the `Capacity` of targets that hold layers.

    The targets of each zone are divided into disjoint chains, the cheapest
    first; targets that are left over add nothing to the rate.

    Parameters
    ----------
    records : list of TargetRecord
        Targets with the layers that they hold.
    profile : EngineProfile
        Profile of the model.
    """
    rate = 0.0
    for zone in sorted({record.zone for record in records}):
        left = [r for r in records if r.zone == zone and r.layers]
        while chain := _cheapest_chain(left, profile):
            used = {stage.holder.identity for stage in chain}
            rate += _chain_rate(chain, left, profile)
            left = [r for r in left if r.identity not in used]
    return Capacity(rate, _scarcest_tokens(records, profile))


def _cheapest_chain(records, profile):
    holders = [
        Holder(
            record.identity,
            record.address,
            record.zone,
            record.layers,
            profile.kind(record.kind).step_factor,
            _units(record, profile),
        )
        for record in records
    ]
    return find_chain(holders, profile.layers, 0.0)


def _chain_rate(chain, records, profile):
    by_identity = {record.identity: record for record in records}
    stages = []
    tokens = []
    for stage in chain:
        record = by_identity[stage.holder.identity]
        kind = profile.kind(record.kind)
        stages.append((kind.step_factor, kind.read_factor, stage.layers.size))
        tokens.append(_units(record, profile) / stage.layers.size)
    return ChainModel(profile).served_rate(stages, min(tokens))


def _scarcest_tokens(records, profile):
    """Return the tokens that fit in the memory of the scarcest layer."""
    totals = [0.0] * profile.layers
    for record in records:
        if record.layers is None:
            continue
        tokens = _units(record, profile) / record.layers.size
        for layer in range(record.layers.first, record.layers.last):
            totals[layer] += tokens
    return min(totals)


def _units(record, profile):
    memory_mb = profile.kind(record.kind).memory_mb
    return profile.capacity_units(memory_mb, record.layers.size)
