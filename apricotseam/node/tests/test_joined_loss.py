"""Several targets of a zone that fall silent together.

The pattern is a joined crash: the entries of the targets stay in the store
until their leases end, seconds after the hosts have noticed. The gap in the
layers has to be ordered within a second of that.
"""

import asyncio
import types

import pytest

from apricotseam.chains.tests.profiles import make_records
from apricotseam.chains.tests.profiles import PROFILE
from apricotseam.fleet import Fleet
from apricotseam.fleet import LeavingSource
from apricotseam.node._placer import CYCLE_PERIOD_SECONDS
from apricotseam.node._placer import LOST_AFTER_SECONDS
from apricotseam.node._placer import LOST_REST_SECONDS
from apricotseam.node._placer import Placer
from apricotseam.node._placer import SETTLE_SECONDS

# Two copies of the model on four large targets each, and a spare holder of
# the middle layers on each of three middle ones.
LAYERS = {
    "a-large-0": (0, 20),
    "a-large-1": (20, 40),
    "a-large-2": (40, 60),
    "a-large-3": (60, 80),
    "a-middle-0": (0, 20),
    "a-middle-1": (20, 40),
    "a-middle-2": (40, 60),
    "a-middle-3": (60, 80),
    "a-middle-4": (20, 40),
}


class RecordingPlacer(Placer):
    """Records the orders instead of sending them."""

    def __init__(self, fleet, now):
        service = types.SimpleNamespace(name="s", engine=PROFILE)
        table = types.SimpleNamespace(services={"s": service})
        context = types.SimpleNamespace(fleet=fleet, table=table, prober=self)
        election = types.SimpleNamespace(is_holder=True)
        super().__init__(context, election, now)
        self.orders = []
        self.unresponsive = set()

    async def find_unresponsive(self, targets):
        """Return the targets that the test lets be silent."""
        return [t for t in targets if t.identity in self.unresponsive]

    async def _issue_order(self, order):
        self.orders.append(order)


def make_fleet():
    """Return a fleet whose layers are all held twice."""
    fleet = Fleet()
    for record in make_records({"large": 4, "middle": 5}, "a", LAYERS):
        fleet.update(record)
    return fleet


def run_placer(
    fleet, silent, seconds, told_by_peers, answers_at=None, is_reached=False
):
    """Run the placer in simulated time; return the time of its first order.

    Parameters
    ----------
    fleet : Fleet
        The targets.
    silent : list of str
        Identities of targets that fall silent at second 2.
    seconds : float
        Time to run.
    told_by_peers : bool
        Whether only other hosts notice.
    answers_at : float, optional
        Second at which they answer again.
    is_reached : bool
        Whether the placer's own probes reach them all the same.
    """
    now = [0.0]
    placer = RecordingPlacer(fleet, lambda: now[0])
    while now[0] < seconds:
        now[0] += 0.1
        is_silent = 2.0 <= now[0] < (answers_at or seconds)
        is_unresponsive = is_silent and not is_reached
        placer.unresponsive = set(silent) if is_unresponsive else set()
        for identity in silent:
            health = fleet.get(identity).health
            if is_silent and told_by_peers:
                health.record_peer_silence(now[0])
            elif is_silent:
                health.mark_unreachable(now[0])
            elif not told_by_peers:
                health.mark_reachable()
        if not round(now[0] * 10) % round(CYCLE_PERIOD_SECONDS * 10):
            asyncio.run(placer._cycle())
        if placer.orders:
            return now[0], placer.orders
    return None, []


# Silent targets, whether only peers notice, and the first layer that is to
# be ordered; None if no order is due.
CASES = [
    ("both-holders", ["a-large-0", "a-middle-0"], False, 0),
    ("both-holders-told-by-peers", ["a-large-0", "a-middle-0"], True, 0),
    ("one-holder", ["a-large-0"], False, None),
    ("most-of-the-zone", sorted(LAYERS)[:6], False, None),
]


@pytest.mark.parametrize(
    ("silent", "told_by_peers", "first_layer"),
    [case[1:] for case in CASES],
    ids=[case[0] for case in CASES],
)
def test_gap_is_ordered_within_a_second(silent, told_by_peers, first_layer):
    fleet = make_fleet()
    ordered_at, orders = run_placer(fleet, silent, 8.0, told_by_peers)
    if first_layer is None:
        assert not orders
        return
    deadline = 2.0 + LOST_AFTER_SECONDS + CYCLE_PERIOD_SECONDS
    assert ordered_at <= deadline <= 3.0
    assert [order.layers.first for order in orders] == [first_layer]
    assert orders[0].identity not in silent


@pytest.mark.parametrize("told_by_peers", [False, True])
def test_short_silence_orders_nothing(told_by_peers):
    fleet = make_fleet()
    silent = ["a-large-0", "a-middle-0"]
    _, orders = run_placer(
        fleet, silent, 6.0, told_by_peers, answers_at=2.0 + 0.4
    )
    assert not orders


def test_targets_that_the_placer_reaches_are_not_lost():
    fleet = make_fleet()
    silent = ["a-large-0", "a-middle-0"]
    _, orders = run_placer(fleet, silent, 8.0, True, is_reached=True)
    assert not orders


# Targets, seconds for which they rest from second 2, first layer that is to
# be ordered; None if no order is due.
RESTS = [
    ("both holders, for long", ["a-large-0", "a-middle-0"], 60.0, 0),
    ("both holders, briefly", ["a-large-0", "a-middle-0"], 4.0, None),
    ("one holder", ["a-large-0"], 60.0, None),
    ("most of the zone", sorted(LAYERS)[:6], 60.0, None),
]


@pytest.mark.parametrize(
    ("resting", "seconds", "first_layer"),
    [case[1:] for case in RESTS],
    ids=[case[0] for case in RESTS],
)
def test_resting_targets_are_lost_only_while_a_long_rest_lasts(
    resting, seconds, first_layer
):
    fleet = make_fleet()
    now = [0.0]
    placer = RecordingPlacer(fleet, lambda: now[0])
    for step in range(1, 80):
        now[0] = step / 10
        if step == 20:
            for identity in resting:
                incarnation = fleet.get(identity).incarnation
                fleet.record_rest(incarnation, seconds, now[0])
        asyncio.run(placer._cycle())
        if placer.orders:
            break
    found = [order.layers.first for order in placer.orders]
    assert found == ([] if first_layer is None else [first_layer])
    assert not {order.identity for order in placer.orders} & set(resting)
    assert now[0] <= 2.0 + CYCLE_PERIOD_SECONDS or not found
    now[0] = 2.0 + seconds - LOST_REST_SECONDS
    targets = fleet.of_service("s")
    assert asyncio.run(placer._without_lost(targets)) == targets


def test_target_that_leaves_is_replaced_in_the_layout():
    fleet = make_fleet()
    now = [0.0]
    placer = RecordingPlacer(fleet, lambda: now[0])
    for step in range(1, 60):
        now[0] = step / 10
        if step == 20:
            for identity in ("a-large-0", "a-middle-0"):
                incarnation = fleet.get(identity).incarnation
                fleet.record_leaving(incarnation, LeavingSource.PEER, 2.0)
        asyncio.run(placer._cycle())
        if placer.orders:
            break
    assert [order.layers.first for order in placer.orders] == [0]
    assert now[0] <= 2.0 + SETTLE_SECONDS + 2 * CYCLE_PERIOD_SECONDS


def test_no_order_goes_to_a_resting_target():
    """An empty target is given layers once it has rested."""
    fleet = Fleet()
    layers = {**LAYERS, "a-large-0": None}
    for record in make_records({"large": 4, "middle": 5}, "a", layers):
        fleet.update(record)
    now = [0.0]
    placer = RecordingPlacer(fleet, lambda: now[0])
    incarnation = fleet.get("a-large-0").incarnation
    fleet.record_rest(incarnation, 4.0, 0.0)
    for step in range(1, 60):
        now[0] = step / 10
        asyncio.run(placer._cycle())
        if placer.orders:
            break
    assert [order.identity for order in placer.orders] == ["a-large-0"]
    assert 4.0 <= now[0] <= 4.5
