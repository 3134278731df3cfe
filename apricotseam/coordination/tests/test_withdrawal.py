"""A host that resigned or withdrew does not register or claim again."""

import asyncio

import pytest

from apricotseam.coordination import Election
from apricotseam.coordination import HostRecord
from apricotseam.coordination import Mirror
from apricotseam.coordination import Registration
from apricotseam.platform import Lease
from apricotseam.positions import Position

KEY = "own/key"
RECORD = HostRecord(
    peers_address="a:1", callers_address="a:2", zone="z", started_ms=1
)


class FakeStore:
    """Store that grants a lease and records every call."""

    def __init__(self, grant_seconds):
        self._grant_seconds = grant_seconds
        self.calls = []
        self.era = 0

    async def grant_lease(self, seconds):
        """Return the same lease for every call, after a delay."""
        await asyncio.sleep(self._grant_seconds)
        self.calls.append("grant")
        return Lease(0, 7)

    async def change(self, expected=(), puts=(), deletes=()):
        """Accept a change."""
        self.calls.append("change")
        return Position(5)

    async def keep_lease(self, lease):
        """Record that a lease is renewed."""
        self.calls.append(f"keep {lease.number}")

    async def end_lease(self, lease):
        """Record that a lease is ended."""
        self.calls.append(f"end {lease.number}")


def make_mirror():
    """Return a mirror that knows an empty store."""
    mirror = Mirror(lambda item: None)
    mirror.advance(Position(1))
    return mirror


def make_election(store):
    """Return an election in which nobody holds the duty."""
    return Election(store, make_mirror(), KEY, "h", lambda: 0)


# Case, how the participant is built, method by which it leaves.
PARTS = [
    ("election", make_election, Election.resign),
    (
        "registration",
        lambda store: Registration(store, make_mirror(), KEY, RECORD),
        Registration.withdraw,
    ),
]


# The host leaves after 0.02 s, when its lease was granted or is yet to be.
@pytest.mark.parametrize(
    "grant_seconds", [0.0, 0.05], ids=["lease held", "grant pending"]
)
@pytest.mark.parametrize(
    ("build", "leave"),
    [case[1:] for case in PARTS],
    ids=[case[0] for case in PARTS],
)
def test_nothing_is_claimed_after_leaving(
    build, leave, grant_seconds, monkeypatch
):
    for module in ("_election", "_registration"):
        name = f"apricotseam.coordination.{module}.RENEW_INTERVAL_SECONDS"
        monkeypatch.setattr(name, 0.01)
    for name in (
        "_election.CHECK_INTERVAL_SECONDS",
        "_registration.CHECK_INTERVAL_SECONDS",
    ):
        monkeypatch.setattr(f"apricotseam.coordination.{name}", 0.005)

    async def scenario():
        store = FakeStore(grant_seconds)
        participant = build(store)
        task = asyncio.get_running_loop().create_task(participant.run())
        await asyncio.sleep(0.02)
        await leave(participant)
        await asyncio.sleep(0.15)
        task.cancel()
        return store.calls

    calls = asyncio.run(scenario())
    assert calls.count("grant") == 1
    assert calls[-1] == "end 7"
