"""When a host counts as isolated."""

import types

import pytest

from apricotseam.clock import ManualClock
from apricotseam.host._configuration import ConfigurationChild
from apricotseam.host._configuration import ISOLATED_AFTER_SECONDS

PEER = "10.0.0.2:7000"


class Replicator:
    """Accepts documents and revisions, and does nothing with them."""

    def add(self, history, cache, on_document):
        """Accept one kind of document."""

    def record_peer_revision(self, peer, kind, revision):
        """Accept the revision of a peer."""


class Members(list):
    """Members that are all present."""

    def present(self):
        """Return all members."""
        return self


def make_child(clock):
    """Return a child that has two members and no configuration."""
    snapshots = types.SimpleNamespace(
        members=Members(["10.0.0.1:7000", PEER]),
        configuration=None,
        is_isolated=False,
    )
    store = types.SimpleNamespace(cache=None, on_accepted=lambda call: None)
    child = ConfigurationChild(None, store, Replicator(), snapshots, clock)
    return child, snapshots


# Seconds without any contact before the last steps, whether a peer was heard
# at the end of them, and whether the host is isolated then.
CONTACTS = [
    ("peer-just-heard", ISOLATED_AFTER_SECONDS + 1, True, False),
    ("nobody-heard", ISOLATED_AFTER_SECONDS + 1, False, True),
    (
        "nobody-heard-for-a-short-time",
        ISOLATED_AFTER_SECONDS - 1,
        False,
        False,
    ),
]


@pytest.mark.parametrize(
    ("silence", "is_heard", "is_isolated"),
    [case[1:] for case in CONTACTS],
    ids=[case[0] for case in CONTACTS],
)
def test_isolation(silence, is_heard, is_isolated):
    clock = ManualClock()
    child, snapshots = make_child(clock)
    clock.advance(silence)
    child.update(clock.monotonic() if is_heard else None)
    assert snapshots.is_isolated is is_isolated


def test_message_of_a_peer_does_not_make_a_host_isolated():
    """A revision that a peer tells is a sign of contact."""
    clock = ManualClock()
    child, snapshots = make_child(clock)
    clock.advance(ISOLATED_AFTER_SECONDS + 1)
    child.update(clock.monotonic())
    clock.advance(0.1)
    child.handle_peer_revision(PEER, 1)
    assert not snapshots.is_isolated


def test_new_document_does_not_make_a_host_isolated():
    """What is activated without a message keeps the last contact."""
    clock = ManualClock()
    child, snapshots = make_child(clock)
    clock.advance(ISOLATED_AFTER_SECONDS + 1)
    child.update(clock.monotonic())
    child.update()
    assert not snapshots.is_isolated
    clock.advance(ISOLATED_AFTER_SECONDS + 1)
    child.update()
    assert snapshots.is_isolated
