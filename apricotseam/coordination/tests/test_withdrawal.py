"""A host that leaves does not come back by itself."""

import asyncio

import pytest

from apricotseam.coordination import Election
from apricotseam.coordination import HostRecord
from apricotseam.coordination import Mirror
from apricotseam.coordination import Registration

KEY = "own/key"
RECORD = HostRecord(
    peers_address="a:1", callers_address="a:2", zone="z", started_ms=1
)


class FakeStore:
    """Grants leases and notes every call."""

    def __init__(self, grant_seconds):
        self._grant_seconds = grant_seconds
        self.calls = []

    async def grant_lease(self, seconds):
        """Return the only lease there is."""
        await asyncio.sleep(self._grant_seconds)
        self.calls.append("grant")
        return 7

    async def change(self, expected=(), puts=(), deletes=()):
        """Accept a change."""
        self.calls.append("change")
        return 5

    async def keep_lease(self, lease):
        """Note a lease that is renewed."""
        self.calls.append(f"keep {lease}")

    async def end_lease(self, lease):
        """Note a lease that is ended."""
        self.calls.append(f"end {lease}")


def a_mirror():
    """Return a mirror that has seen the store, but no key."""
    mirror = Mirror(lambda item: None)
    mirror.advance(1)
    return mirror


def an_election(store):
    """Return an election that sees no holder."""
    return Election(store, a_mirror(), KEY, "h", lambda: 0)


# Part, its way to leave.
PARTS = [
    ("election", an_election, Election.resign),
    (
        "registration",
        lambda store: Registration(store, a_mirror(), KEY, RECORD),
        Registration.withdraw,
    ),
]


@pytest.mark.parametrize("grant_seconds", [0.0, 0.05], ids=["held", "early"])
@pytest.mark.parametrize(
    ("build", "leave"),
    [case[1:] for case in PARTS],
    ids=[case[0] for case in PARTS],
)
def test_nothing_is_claimed_after_leaving(
    build, leave, grant_seconds, monkeypatch
):
    for module in ("_election", "_registration"):
        name = f"apricotseam.coordination.{module}.RENEW_SECONDS"
        monkeypatch.setattr(name, 0.01)
    for name in ("_election.CHECK_SECONDS", "_registration.LOOK_SECONDS"):
        monkeypatch.setattr(f"apricotseam.coordination.{name}", 0.005)

    async def scenario():
        store = FakeStore(grant_seconds)
        part = build(store)
        task = asyncio.get_running_loop().create_task(part.run())
        await asyncio.sleep(0.02)
        await leave(part)
        await asyncio.sleep(0.15)
        task.cancel()
        return store.calls

    calls = asyncio.run(scenario())
    assert calls.count("grant") == 1
    assert calls[-1] == "end 7"
