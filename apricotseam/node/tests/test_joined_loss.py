"""Several targets of a zone that crash or fall silent together.

Their entries stay in the store until their leases end, seconds after the
hosts have noticed. Targets that refuse or reset connections have crashed, and
the gap in the layers has to be ordered within a second. A silent target may
be sound and go on after 1.5 s, so a gap that silence alone makes has to be
ordered within 2.2 s, and no sooner than it is certain to last.
"""

import asyncio
import random
import types

import pytest

from apricotseam.chains import Ledger
from apricotseam.chains.tests.profiles import make_records
from apricotseam.chains.tests.profiles import PROFILE
from apricotseam.fleet import AnnouncementSource
from apricotseam.fleet import Fleet
from apricotseam.forwarding import PeerViews
from apricotseam.forwarding import TargetProber
from apricotseam.http1 import LostConnectionError
from apricotseam.http1 import RefusedConnectionError
from apricotseam.http1 import TransportTimeoutError
from apricotseam.node._placer import CYCLE_PERIOD_SECONDS
from apricotseam.node._placer import LOST_REST_SECONDS
from apricotseam.node._placer import Placer
from apricotseam.node._placer import SETTLE_SECONDS

# Longest silence after which a sound target goes on.
SOUND_SILENCE_SECONDS = 1.5
STEP_SECONDS = 0.1
# Steps between two cycles of the placer, two looks of streams at their
# targets, and two probes of silent targets.
CYCLE_STEPS = round(CYCLE_PERIOD_SECONDS / STEP_SECONDS)
STREAM_CHECK_STEPS = 4
REPROBE_STEPS = 5
# Time for which peers go on to report a target that answers again: until
# they have probed it, and their message has arrived.
STALE_REPORT_SECONDS = 0.7

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


class FaultyTargetsPool:
    """Answers for all targets but those that the test lets fail."""

    def __init__(self):
        self.failures = {}

    async def call(
        self,
        key,
        address,
        method,
        path,
        body,
        deadline,
        must_open=False,
        headers=(),
    ):
        """Return an answer without a report, or raise the target's error."""
        if address in self.failures:
            raise self.failures[address]("no answer", "ask again")
        return types.SimpleNamespace(status=503), b""


class ReachingProber:
    """Reaches all targets."""

    async def find_unresponsive(self, targets):
        """Return no target."""
        return []

    async def reprobe(self, targets):
        """Do nothing."""


class RecordingPlacer(Placer):
    """Records the orders instead of sending them."""

    def __init__(self, fleet, prober, now):
        service = types.SimpleNamespace(name="s", engine=PROFILE)
        table = types.SimpleNamespace(services={"s": service})
        context = types.SimpleNamespace(
            peer_views=PeerViews(), fleet=fleet, table=table, prober=prober
        )
        election = types.SimpleNamespace(is_holder=True)
        super().__init__(context, election, now)
        self.orders = []

    async def _issue_order(self, order):
        self.orders.append(order)


def make_fleet():
    """Return a fleet whose layers are all held twice."""
    fleet = Fleet()
    for record in make_records({"large": 4, "middle": 5}, "a", LAYERS):
        fleet.update(record)
    return fleet


class Simulation:
    """The placer and its prober in simulated time.

    Parameters
    ----------
    failing : list of str
        Identities of the targets that fail.
    error : type
        Error of a call to them while they fail.
    spells : list of tuple of float
        Seconds from and until which they fail.
    is_told : bool
        Whether only other hosts send them requests, and tell of it.
    is_reached : bool
        Whether they answer this host all the same.
    """

    def __init__(self, failing, error, spells, is_told, is_reached=False):
        self.now = 0.0
        self._spells = spells
        self._error = error
        self._is_told = is_told
        self._is_reached = is_reached
        self._pool = FaultyTargetsPool()
        fleet = make_fleet()
        self._failing = [fleet.get(identity) for identity in failing]
        self._prober = TargetProber(
            self._pool,
            Ledger(lambda is_own: None),
            lambda: self.now,
            lambda identity: None,
            fleet,
            random.Random(1),
        )
        self._placer = RecordingPlacer(fleet, self._prober, lambda: self.now)

    def run(self, seconds):
        """Run for some seconds; return the time of the first orders, too."""
        return asyncio.run(self._run(seconds))

    async def _run(self, seconds):
        step = 0
        while self.now < seconds:
            step += 1
            self.now = step * STEP_SECONDS
            self._set_failures()
            await self._notice(step)
            if step % CYCLE_STEPS == 0:
                await self._placer._cycle()
            if self._placer.orders:
                return self.now, self._placer.orders
        return None, []

    def _set_failures(self):
        is_failing = self._is_failing(self.now) and not self._is_reached
        self._pool.failures = (
            {t.address: self._error for t in self._failing}
            if is_failing
            else {}
        )

    def _is_failing(self, now):
        return any(start <= now < end for start, end in self._spells)

    async def _notice(self, step):
        """Let streams, peers and the periodic probes notice failures."""
        if self._is_told:
            if self._is_failing(self.now) or self._is_failing(
                self.now - STALE_REPORT_SECONDS
            ):
                for target in self._failing:
                    target.health.record_peer_silence(self.now)
        elif self._pool.failures and step % STREAM_CHECK_STEPS == 0:
            await self._prober.find_unresponsive(self._failing)
        if step % REPROBE_STEPS == 0:
            for target in self._prober._targets_to_reprobe(1.0):
                await self._prober._reprobe(target)


FOREVER = [(2.0, 99.0)]
BOTH_HOLDERS = ["a-large-0", "a-middle-0"]
# Seconds within which a gap has to be ordered, by what calls end in.
CRASHED_WITHIN_SECONDS = 1.0
SILENT_WITHIN_SECONDS = 2.2
ERRORS = [
    ("refuses", RefusedConnectionError, CRASHED_WITHIN_SECONDS),
    ("resets", LostConnectionError, CRASHED_WITHIN_SECONDS),
    ("silent", TransportTimeoutError, SILENT_WITHIN_SECONDS),
]
# Targets that fail, whether only peers notice, and the first layer that is
# to be ordered; None if no order is due.
CASES = [
    ("both-holders", BOTH_HOLDERS, False, 0),
    ("both-holders-told-by-peers", BOTH_HOLDERS, True, 0),
    ("one-holder", ["a-large-0"], False, None),
    ("most-of-the-zone", sorted(LAYERS)[:6], False, None),
]


@pytest.mark.parametrize(
    ("error", "within_seconds"),
    [each[1:] for each in ERRORS],
    ids=[each[0] for each in ERRORS],
)
@pytest.mark.parametrize(
    ("failing", "is_told", "first_layer"),
    [case[1:] for case in CASES],
    ids=[case[0] for case in CASES],
)
def test_gap_is_ordered_in_time(
    failing, is_told, first_layer, error, within_seconds
):
    simulation = Simulation(failing, error, FOREVER, is_told)
    ordered_at, orders = simulation.run(8.0)
    if first_layer is None:
        assert not orders
        return
    assert ordered_at <= 2.0 + within_seconds
    assert [order.layers.first for order in orders] == [first_layer]
    assert orders[0].identity not in failing


def make_spells(count, pause_seconds):
    """Return spells of silence of sound targets."""
    period = SOUND_SILENCE_SECONDS + pause_seconds
    starts = [2.0 + number * period for number in range(count)]
    return [(start, start + SOUND_SILENCE_SECONDS) for start in starts]


# Description, spells of silence.
SHORT_SPELLS = [
    ("for a moment", [(2.0, 2.4)]),
    ("once", make_spells(1, 0.0)),
    ("again and again", make_spells(4, 1.0)),
]


@pytest.mark.parametrize("is_told", [False, True], ids=["own", "told"])
@pytest.mark.parametrize(
    "spells",
    [case[1] for case in SHORT_SPELLS],
    ids=[case[0] for case in SHORT_SPELLS],
)
def test_short_silence_orders_nothing(spells, is_told):
    """Guards against layers that are moved away from sound targets."""
    simulation = Simulation(
        BOTH_HOLDERS, TransportTimeoutError, spells, is_told
    )
    _, orders = simulation.run(spells[-1][1] + 4.0)
    assert not orders


def test_targets_that_the_placer_reaches_are_not_lost():
    simulation = Simulation(
        BOTH_HOLDERS, TransportTimeoutError, FOREVER, True, is_reached=True
    )
    _, orders = simulation.run(8.0)
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
    placer = RecordingPlacer(fleet, ReachingProber(), lambda: now[0])
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
    placer = RecordingPlacer(fleet, ReachingProber(), lambda: now[0])
    for step in range(1, 60):
        now[0] = step / 10
        if step == 20:
            for identity in ("a-large-0", "a-middle-0"):
                incarnation = fleet.get(identity).incarnation
                fleet.record_leaving(incarnation, AnnouncementSource.PEER, 2.0)
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
    placer = RecordingPlacer(fleet, ReachingProber(), lambda: now[0])
    incarnation = fleet.get("a-large-0").incarnation
    fleet.record_rest(incarnation, 4.0, 0.0)
    for step in range(1, 60):
        now[0] = step / 10
        asyncio.run(placer._cycle())
        if placer.orders:
            break
    assert [order.identity for order in placer.orders] == ["a-large-0"]
    assert 4.0 <= now[0] <= 4.5
