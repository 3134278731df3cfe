"""Changes that hosts ask one another for."""

import asyncio
import types

import msgspec
import pytest

from apricotseam.coordination._messages import ChangesRequest
from apricotseam.coordination._packing import MAX_PLAIN_BYTES
from apricotseam.coordination._packing import pack_changes
from apricotseam.coordination import Changes
from apricotseam.coordination import Mirror
from apricotseam.coordination import MirrorItem
from apricotseam.coordination import PackedChanges
from apricotseam.coordination import PeerChanges
from apricotseam.peers import PeerAnswerLostError
from apricotseam.positions import decode_hook
from apricotseam.positions import NO_POSITION
from apricotseam.positions import Position

LAST = Position(5)
# Longer than the test.
SILENCE_SECONDS = 60.0


class Peers:
    """Hosts with prepared answers; those without one stay silent."""

    def __init__(self, answers=()):
        self._answers = dict(enumerate(answers))

    @property
    def transport(self):
        """Sender of requests, which is this object."""
        return self

    def handle(self, record_type, handler, *answer_types):
        """Accept a handler."""

    def choose_peers(self, count):
        """Return all hosts."""
        return list(self._answers)

    async def ask_async(self, address, record):
        """Return the answer of a host."""
        answer = self._answers[address]
        if answer is None:
            await asyncio.sleep(SILENCE_SECONDS)
        if isinstance(answer, Exception):
            raise answer
        return answer


def mirror_of(value):
    """Return a mirror with one item."""
    mirror = Mirror(lambda item: None)
    mirror.reconcile([MirrorItem("k", value, LAST)], LAST, LAST)
    return mirror


LARGE = b"v" * (MAX_PLAIN_BYTES + 1)
# Value, request as it is sent, type of the answer. Hosts of earlier versions
# send the position alone.
ANSWERS = [
    (b"v", [0, True], Changes),
    (LARGE, [0, True], PackedChanges),
    (LARGE, [0], Changes),
    (LARGE, [5, True], Changes),
]


@pytest.mark.parametrize(("value", "request_fields", "kind"), ANSWERS)
def test_large_answers_are_packed_for_hosts_that_accept_it(
    value, request_fields, kind
):
    request = msgspec.convert(
        request_fields, ChangesRequest, dec_hook=decode_hook
    )
    peers = PeerChanges(Peers(), mirror_of(value))
    assert type(peers.answer("a", request)) is kind


CHANGES = Changes(LAST, [MirrorItem("k", LARGE, LAST)], True)
OLD = Changes(Position(1), [], False)
LOST = PeerAnswerLostError("no answer", "ask again")
ODD = PackedChanges(LAST, b"odd", True)
# Answers of hosts, and those that are returned. A host that stays silent
# delays only what nobody else knows.
ASKED = [
    ([pack_changes(CHANGES), None], [CHANGES]),
    ([OLD, CHANGES], [OLD, CHANGES]),
    ([LOST, ODD, types.SimpleNamespace()], []),
]


@pytest.mark.parametrize(("answers", "expected"), ASKED)
def test_answers_up_to_the_first_that_knows_more(answers, expected):
    async def scenario():
        peers = PeerChanges(Peers(answers), mirror_of(b"v"))
        async with asyncio.timeout(1):
            return await peers.ask(Position(1), len(answers))

    found = asyncio.run(scenario())
    assert sorted(found, key=lambda c: c.position) == expected


def test_an_answer_after_another_position_is_packed_anew():
    peers = PeerChanges(Peers(), mirror_of(LARGE))
    whole = peers.answer("a", ChangesRequest(NO_POSITION, True))
    changed = peers.answer("a", ChangesRequest(Position(4), True))
    assert (whole.is_whole, changed.is_whole) == (True, True)
    assert peers.answer("b", ChangesRequest(Position(4), True)) is changed
