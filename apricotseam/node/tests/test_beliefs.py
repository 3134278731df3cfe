"""Number of peers that should report their usage, by host records."""

import msgspec
import pytest

from apricotseam.coordination import HostRecord
from apricotseam.coordination import MirrorItem
from apricotseam.node._beliefs import HOSTS_PREFIX
from apricotseam.node._beliefs import StoreItemHandler
from apricotseam.positions import Position

# Number of registered hosts, spread over three availability zones; number of
# peers that should report their usage to a host of the first zone. Above 25
# hosts only peers of the same zone report.
CASES = [(0, 0), (1, 0), (8, 7), (25, 24), (26, 8), (90, 29)]


@pytest.mark.parametrize(("hosts", "peers"), CASES)
def test_peers_that_should_tell_their_usage(hosts, peers):
    handler = StoreItemHandler(None, lambda: False, lambda: 0.0)
    for number in range(hosts):
        record = HostRecord(
            peers_address=f"h{number}:1",
            callers_address=f"h{number}:2",
            zone=f"z{number % 3}",
            started_ms=1,
        )
        value = msgspec.json.encode(record)
        key = f"{HOSTS_PREFIX}h{number}"
        handler.apply(MirrorItem(key, value, Position(number + 1)))
    assert handler.count_peers("z0") == peers
