"""Requests that end targets, with hosts and targets as processes."""

import asyncio

import pytest

from soak._crashes import CrashLoad
from soak._crashes import CrashRun

# Ends after which hosts should know a part, or a request and its repeats.
ENDS_TO_LEARN_PART = 5
ENDS_TO_LEARN_REQUEST = 3
LEARN_SECONDS = 3.0
ALLOWED_AFTERWARDS = 3
# Least share of sound requests that are served at last.
SOUND_SHARE = 0.5
LAST_SECONDS = 4.0

PARTS = [
    CrashLoad(
        name="bursts",
        fatal_rate=30.0,
        sound_rate=20.0,
        end_seconds=0.5,
        back_seconds=4.0,
    ),
    CrashLoad(
        name="many-parts",
        fatal_rate=5.0,
        sound_rate=60.0,
        end_seconds=0.5,
        back_seconds=4.0,
        own_parts=30,
        customers=1,
    ),
    CrashLoad(
        name="late-ends",
        fatal_rate=5.0,
        sound_rate=20.0,
        end_seconds=1.4,
        back_seconds=0.3,
    ),
    CrashLoad(
        name="back-at-once",
        fatal_rate=10.0,
        sound_rate=30.0,
        end_seconds=0.01,
        back_seconds=0.0,
    ),
    CrashLoad(
        name="two-parts-many-customers",
        fatal_rate=10.0,
        sound_rate=40.0,
        end_seconds=0.2,
        back_seconds=1.0,
        fatal_marks=2,
        customers=24,
    ),
]
REQUESTS = [
    CrashLoad(
        name="closed",
        fatal_rate=20.0,
        sound_rate=20.0,
        end_seconds=0.5,
        back_seconds=2.0,
        is_engine=False,
    ),
    CrashLoad(
        name="answered-with-502",
        fatal_rate=5.0,
        sound_rate=20.0,
        end_seconds=0.02,
        back_seconds=2.0,
        is_engine=False,
        end_status=502,
    ),
    CrashLoad(
        name="back-at-once",
        fatal_rate=5.0,
        sound_rate=20.0,
        end_seconds=0.01,
        back_seconds=0.0,
        is_engine=False,
    ),
]
POWER_LOSSES = [
    CrashLoad(
        name="alone",
        fatal_rate=0.0,
        sound_rate=40.0,
        end_seconds=0.2,
        back_seconds=2.0,
        seconds=10.0,
        power_loss_seconds=3.0,
    ),
    CrashLoad(
        name="beside-a-part",
        fatal_rate=5.0,
        sound_rate=40.0,
        end_seconds=0.2,
        back_seconds=2.0,
        power_loss_seconds=0.5,
    ),
]


def play(load, folder):
    """Return the `CrashRun` of a load after its end."""

    async def run():
        crashes = CrashRun(load, folder)
        await crashes.run()
        return crashes

    return asyncio.run(run())


def check(crashes, ends):
    """Assert that few fatal requests are sent on, and sound ones served."""
    late = crashes.late_arrivals(ends, LEARN_SECONDS)
    until = crashes.began_at + crashes.seconds
    served = crashes.served_share(until - LAST_SECONDS)
    print(f"{len(crashes.ends)} ends, {len(late)} late, served {served:.2f}")
    assert crashes.ends
    assert len(late) <= ALLOWED_AFTERWARDS
    assert served >= SOUND_SHARE


# Guards against requests with one part that go on to end targets while
# dozens of others are in progress on them.
@pytest.mark.parametrize("load", PARTS, ids=[load.name for load in PARTS])
def test_part_that_ends_processes_reaches_no_more_of_them(load, tmp_path):
    check(play(load, tmp_path), ENDS_TO_LEARN_PART)


# Guards against one request that goes on to end targets as it is repeated.
@pytest.mark.parametrize(
    "load", REQUESTS, ids=[load.name for load in REQUESTS]
)
def test_request_that_ends_processes_reaches_no_more_of_them(load, tmp_path):
    check(play(load, tmp_path), ENDS_TO_LEARN_REQUEST)


# Guards against sound requests that are held back after a third of the
# targets ended at once.
@pytest.mark.parametrize(
    "load", POWER_LOSSES, ids=[load.name for load in POWER_LOSSES]
)
def test_sound_requests_are_served_after_a_loss_of_power(load, tmp_path):
    check(play(load, tmp_path), ENDS_TO_LEARN_PART)
