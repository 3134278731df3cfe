"""Claims that are asked for too long, at the host that batches them."""

import asyncio
import threading

import pytest

from apricotseam.execution import _claims
from apricotseam.execution._claims import ClaimBatches
from apricotseam.execution._claims import ClaimQuestion
from apricotseam.execution._claims import ShardClaims
from apricotseam.execution._shards import Entry
from apricotseam.execution._shards import Holder

PATIENCE_SECONDS = 20.0
HOLDER = Holder("here", 1, "attempt", b"digest", 1e12)
ENTRY = Entry(7, b"key", HOLDER)


class GatedStore:
    """Claims only after the gate was opened; counts the batches."""

    def __init__(self):
        self.gate = threading.Event()
        self.entered = threading.Event()
        self.batches = 0

    def claim(self, number, entries):
        """Wait for the gate, then name one holder of all entries."""
        self.batches += 1
        self.entered.set()
        assert self.gate.wait(PATIENCE_SECONDS)
        return [HOLDER for _ in entries]


class Link:
    """Link of a host without peers."""

    address = "here"

    def __init__(self):
        self.handlers = {}

    def handle(self, record_type, handler, answer_type=None):
        """Record the handler of a type."""
        self.handlers[record_type] = handler


# Questions that are given up while the store is busy with the first one.
GIVEN_UP = [
    ("in-the-store", 1),
    ("in-the-store-and-waiting", 3),
]


@pytest.mark.parametrize(
    "given_up", [c[1] for c in GIVEN_UP], ids=[c[0] for c in GIVEN_UP]
)
def test_claim_that_a_peer_gave_up_leaves_its_shard_usable(
    monkeypatch, given_up
):
    monkeypatch.setattr(_claims, "ASK_TIMEOUT_SECONDS", 0.05)
    store = GatedStore()
    batches = ClaimBatches(store, 1)
    link = Link()
    claims = ShardClaims(link, batches, lambda: ["here"])
    answer = link.handlers[ClaimQuestion]

    async def ask_and_give_up():
        questions = [
            answer("peer", ClaimQuestion(entry=ENTRY)) for _ in range(given_up)
        ]
        return await asyncio.gather(*questions)

    answers = asyncio.run(ask_and_give_up())
    assert [a.holder for a in answers] == [None] * given_up
    assert store.entered.wait(PATIENCE_SECONDS)
    store.gate.set()
    assert claims.claim(ENTRY) == HOLDER
    # No claim that a peer gave up may go to the store after the gate opened.
    assert store.batches == 2
    batches.close()
