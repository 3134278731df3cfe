"""Calls of a registration to the store, also after its record expired."""

import asyncio

import pytest

from apricotseam.coordination import HostRecord
from apricotseam.coordination import Mirror
from apricotseam.coordination import MirrorItem
from apricotseam.coordination import Registration
from apricotseam.platform import Lease
from apricotseam.platform import StoreError
from apricotseam.positions import Position

KEY = "own/key"
REGISTERED = ["grant", "change"]
RECORD = HostRecord(
    peers_address="a:1", callers_address="a:2", zone="z", started_ms=1
)


class FakeStore:
    """Store that writes to a mirror, or fails every call."""

    def __init__(self, mirror, is_unreachable):
        self.mirror = mirror
        self.is_unreachable = is_unreachable
        self.calls = []
        self.revision = 1
        self.era = 0

    async def grant_lease(self, seconds):
        """Return a lease."""
        self._record_call("grant")
        return Lease(0, len(self.calls))

    async def change(self, expected=(), puts=(), deletes=()):
        """Write the record."""
        self._record_call("change")
        self.revision += 1
        for item in puts:
            position = Position(self.revision)
            self.mirror.apply(MirrorItem(item.key, item.value, position))

    async def keep_lease(self, lease):
        """Renew a lease."""
        self._record_call("keep")

    def _record_call(self, call):
        self.calls.append(call)
        if self.is_unreachable:
            raise StoreError("away", "wait")


# Case, whether the store is unreachable, whether the record expires, whether
# other hosts need it, expected first calls within 0.3 s.
CASES = [
    ("record present", False, False, True, ["grant", "change", "keep"]),
    (
        "record expired",
        False,
        True,
        True,
        ["grant", "change", "grant", "change"],
    ),
    ("store unreachable", True, False, True, ["grant"] * 4),
    ("record not needed after the start", False, False, False, REGISTERED),
    ("record not needed has expired", False, True, False, REGISTERED),
]


@pytest.mark.parametrize(
    ("is_unreachable", "expires", "is_needed", "expected"),
    [case[1:] for case in CASES],
    ids=[case[0] for case in CASES],
)
def test_calls(is_unreachable, expires, is_needed, expected, monkeypatch):
    module = "apricotseam.coordination._registration"
    monkeypatch.setattr(f"{module}.RENEW_INTERVAL_SECONDS", 0.2)
    monkeypatch.setattr(f"{module}.CHECK_INTERVAL_SECONDS", 0.02)
    monkeypatch.setattr(f"{module}.FIRST_RETRY_SECONDS", 0.02)

    async def scenario():
        mirror = Mirror(lambda item: None)
        store = FakeStore(mirror, is_unreachable)
        registration = Registration(
            store, mirror, KEY, RECORD, lambda: is_needed
        )
        task = asyncio.get_running_loop().create_task(registration.run())
        await asyncio.sleep(0.02)
        if expires:
            mirror.apply(MirrorItem(KEY, None, Position(9)))
            store.revision = 9
        await asyncio.sleep(0.25)
        task.cancel()
        return store.calls

    calls = asyncio.run(scenario())
    assert calls[: len(expected)] == expected
    assert len(calls) <= len(expected) + is_needed


def test_record_is_written_again_once_it_is_needed(monkeypatch):
    """A host that becomes a contact of its zone registers once more."""
    module = "apricotseam.coordination._registration"
    monkeypatch.setattr(f"{module}.RENEW_INTERVAL_SECONDS", 0.04)
    monkeypatch.setattr(f"{module}.CHECK_INTERVAL_SECONDS", 0.02)
    needed = [False]

    async def scenario():
        mirror = Mirror(lambda item: None)
        store = FakeStore(mirror, False)
        registration = Registration(
            store, mirror, KEY, RECORD, lambda: needed[0]
        )
        task = asyncio.get_running_loop().create_task(registration.run())
        await asyncio.sleep(0.15)
        before = list(store.calls)
        needed[0] = True
        await asyncio.sleep(0.15)
        task.cancel()
        return before, store.calls

    before, calls = asyncio.run(scenario())
    assert before == REGISTERED
    assert calls[: len(REGISTERED) * 2 + 1] == [*REGISTERED * 2, "keep"]
