"""Short runs of host processes under the faults of one seed each."""

import random

import pytest

from soak._invariants import NOT_EXECUTED_STATUSES
from soak._overload import draw_overload
from soak import draw_faults
from soak import run_seed

# Seeds that once failed, each with the error that it exposed; they stay as
# regression tests.
SEEDS = [
    # A stopping host renewed a lease that it had already released, and so
    # took over its duty again.
    pytest.param(5, id="stop-and-kills"),
    # The watches of the store's stand-in looped without waiting once the
    # store had lost its history.
    pytest.param(8, id="history-lost-under-a-silent-store"),
    # A reload signal (SIGHUP) terminated a host that was still starting.
    pytest.param(3544840101, id="reload-during-a-start"),
    # Requests hung while no process of the run did anything for 8.8 s; not
    # traced.
    pytest.param(1759625684, id="silent-store-beside-deaf-and-paused-target"),
]


# A seed with an overload.
OVERLOAD_SEED = 1


@pytest.mark.parametrize("seed", SEEDS)
def test_invariants_hold(seed, tmp_path):
    records, violations = run_seed(seed, tmp_path)
    assert violations == []
    assert len(records.attempts) > 0


def test_small_pool_refuses_requests_that_are_too_many(tmp_path):
    """A seed without faults: what is refused has not run, and all ends."""
    assert draw_overload(OVERLOAD_SEED) is not None
    records, violations = run_seed(OVERLOAD_SEED, tmp_path, faults=[])
    assert violations == []
    assert any(a.status in NOT_EXECUTED_STATUSES for a in records.attempts)


def test_faults_are_drawn_by_the_seed_alone():
    first, second = (repr(draw_faults(random.Random(7))) for _ in range(2))
    assert first == second
    assert first != repr(draw_faults(random.Random(8)))
