"""Mirrors that are updated by listings, watches and peers in any order."""

from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis import strategies

from apricotseam.coordination import Mirror
from apricotseam.coordination import MirrorItem
from apricotseam.positions import Position

KEYS = ["a", "b", "c"]


class MirrorMachine(RuleBasedStateMachine):
    """A store that changes and the mirrors of two hosts."""

    def __init__(self):
        super().__init__()
        self.position = Position(1)
        self.items = {}
        self.history = []
        self.seen_positions = {}
        self.mirrors = [Mirror(self.record), Mirror(lambda item: None)]

    def record(self, item):
        """Check that the positions of a key only increase."""
        assert item.position > self.seen_positions.get(item.key, 0)
        self.seen_positions[item.key] = item.position

    @rule(key=strategies.sampled_from(KEYS), is_deleted=strategies.booleans())
    def change(self, key, is_deleted):
        if is_deleted and key not in self.items:
            return
        self.position = Position(self.position + 1)
        value = None if is_deleted else b"v"
        item = MirrorItem(key, value, self.position)
        self.history.append(item)
        if is_deleted:
            del self.items[key]
        else:
            self.items[key] = item

    @rule(number=strategies.sampled_from([0, 1]))
    def watch(self, number):
        mirror = self.mirrors[number]
        for item in self.history:
            if item.position > mirror.position:
                mirror.apply(item)
        mirror.advance(self.position)

    @rule(number=strategies.sampled_from([0, 1]))
    def list_all(self, number):
        mirror = self.mirrors[number]
        mirror.reconcile(
            list(self.items.values()), self.position, self.position
        )

    @rule(number=strategies.sampled_from([0, 1]))
    def learn_from_peer(self, number):
        mirror = self.mirrors[number]
        changes = self.mirrors[1 - number].changes_since(mirror.position)
        if changes.is_whole:
            mirror.reconcile(changes.items, changes.position, changes.position)
            return
        for item in changes.items:
            mirror.apply(item)
        mirror.advance(changes.position)

    @rule(data=strategies.data())
    def apply_stale_item(self, data):
        if self.history:
            item = data.draw(strategies.sampled_from(self.history))
            if item.position <= self.mirrors[0].position:
                self.mirrors[0].apply(item)

    @invariant()
    def mirror_is_the_store_at_its_position(self):
        for mirror in self.mirrors:
            expected = {}
            for item in self.history:
                if item.position <= mirror.position:
                    expected[item.key] = item
            for key in KEYS:
                found = mirror.get(key)
                wanted = expected.get(key)
                if wanted is None or wanted.value is None:
                    assert found is None or found.position > mirror.position
                else:
                    assert found is not None
                    assert found.position >= wanted.position


TestMirror = MirrorMachine.TestCase
