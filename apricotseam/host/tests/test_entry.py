"""What a host does when a component fails for good."""

import threading
import types

import pytest

from apricotseam.host._entry import EntryHost

# Name of the component, whether the process ends without a graceful shutdown.
COMPONENTS = [
    ("membership", False),
    ("peers", False),
    ("callers", False),
    ("leaving", True),
]


@pytest.mark.parametrize(("name", "ends_at_once"), COMPONENTS)
def test_failed_component_leads_to_a_graceful_shutdown(name, ends_at_once):
    """Guards against answers that are cut as a component gives up."""
    requested = []
    host = types.SimpleNamespace(
        _failed=threading.Event(),
        _stopped=threading.Event(),
        request_stop=lambda: requested.append(name),
    )
    EntryHost._on_child_failed(host, name)
    assert host._failed.is_set()
    assert requested == [name]
    assert host._stopped.is_set() == ends_at_once
