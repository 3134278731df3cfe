"""Layout of layers over the targets of an availability zone."""

import msgspec
import pytest

from apricotseam.chains import AcceleratorSpec
from apricotseam.chains import ChainModel
from apricotseam.chains import choose_orders
from apricotseam.chains import plan_zone
from apricotseam.chains.tests.profiles import KINDS
from apricotseam.chains.tests.profiles import make_records
from apricotseam.chains.tests.profiles import PROFILE

# Numbers of large, middle and small accelerators in a zone, and the minimum
# number of holders that each layer must have.
ZONE_CASES = [
    ((1, 3, 8), 2),
    ((1, 6, 5), 2),
    ((2, 2, 5), 1),
    ((2, 9, 22), 4),
    ((0, 0, 12), 1),
    ((4, 0, 0), 1),
    ((0, 5, 0), 1),
    ((0, 20, 0), 4),
]
# Largest fraction of memory for weights that any order may lead to.
MAX_WEIGHT_SHARE = 0.9


def order_all(records):
    """Return the ordered layers by target identity."""
    orders = choose_orders(records, PROFILE)
    return {order.identity: order.layers for order in orders}


def holders_by_layer(plan):
    """Return the number of holders of each layer."""
    counts = [0] * PROFILE.layers
    for layers in plan.values():
        for layer in range(layers.first, layers.last):
            counts[layer] += 1
    return counts


@pytest.mark.parametrize(("counts", "least"), ZONE_CASES)
def test_each_layer_is_held_and_memory_stays_for_requests(counts, least):
    records = make_records(dict(zip(KINDS, counts)))
    plan = order_all(records)
    assert min(holders_by_layer(plan)) >= least
    for record in records:
        layers = plan.get(record.identity)
        if layers is not None:
            memory = KINDS[record.kind].memory_mb
            weights = layers.size * PROFILE.layer_mb
            assert weights <= MAX_WEIGHT_SHARE * memory


def test_zones_too_small_for_a_copy_are_laid_out_together():
    records = make_records({"middle": 2}, "a") + make_records(
        {"middle": 3}, "b"
    )
    plan = order_all(records)
    assert min(holders_by_layer(plan)) >= 1


@pytest.mark.parametrize("kind", list(KINDS))
def test_too_few_targets_are_never_overfilled(kind):
    records = make_records({kind: 1})
    for layers in order_all(records).values():
        weights = layers.size * PROFILE.layer_mb
        assert weights <= KINDS[kind].memory_mb


def test_fast_targets_form_a_chain_of_their_own():
    plan = order_all(make_records({"large": 1, "middle": 3, "small": 8}))
    fast = {k: v for k, v in plan.items() if "small" not in k}
    assert min(holders_by_layer(fast)) == 1


def test_spares_hold_all_layers_of_two_group_members():
    records = make_records({"large": 2, "middle": 2, "small": 5})
    plan = order_all(records)
    spares = [plan[k] for k in plan if "small" in k]
    covered = {n for r in spares for n in range(r.first, r.last)}
    members = [plan[k] for k in plan if "small" not in k]
    covered_members = [
        r for r in members if set(range(r.first, r.last)) <= covered
    ]
    assert len(covered_members) >= 2


class CountingModel(ChainModel):
    """Counts the groups whose rate is computed."""

    def __init__(self, profile):
        super().__init__(profile)
        self.computed = 0

    def served_rate(self, stages, tokens):
        """Count the call."""
        self.computed += 1
        return super().served_rate(stages, tokens)


def test_work_of_a_layout_grows_with_the_number_of_accelerators_only():
    """The pattern is a zone of hundreds of engines that start together."""
    computed = []
    for scale in (3, 6, 12):
        accelerators = [
            AcceleratorSpec(
                f"{kind}-{number}",
                KINDS[kind].memory_mb,
                KINDS[kind].step_factor,
                KINDS[kind].read_factor,
            )
            for kind, count in zip(KINDS, (4, 13, 21))
            for number in range(scale * count)
        ]
        model = CountingModel(PROFILE)
        plan_zone(accelerators, PROFILE, model)
        computed.append(model.computed)
    # Twice the accelerators may take little more than twice the work.
    assert computed[1] <= 2.3 * computed[0]
    assert computed[2] <= 2.3 * computed[1]


def test_settled_zone_is_not_planned_again(monkeypatch):
    """A zone without gaps and empty targets needs no plan in each cycle."""
    records = make_records({"large": 2, "middle": 6, "small": 8})
    plan = order_all(records)
    settled = [
        msgspec.structs.replace(r, layers=plan.get(r.identity))
        for r in records
        if r.identity in plan
    ]
    monkeypatch.setattr("apricotseam.chains._repair.plan_zone", None)
    assert not choose_orders(settled, PROFILE)
