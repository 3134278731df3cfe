"""What a host believes of the other hosts by their records."""

import msgspec
import pytest

from apricotseam.coordination import HostRecord
from apricotseam.coordination import MirrorItem
from apricotseam.node._beliefs import Beliefs
from apricotseam.node._beliefs import HOSTS_PREFIX

# Hosts with a record, in three availability zones; peers that should tell
# a host of the first one what they have in progress.
FLEETS = [(0, 0), (1, 0), (8, 7), (25, 24), (26, 8), (90, 29)]


@pytest.mark.parametrize(("hosts", "peers"), FLEETS)
def test_peers_that_should_tell_their_usage(hosts, peers):
    beliefs = Beliefs(None, lambda: False, lambda: 0.0)
    for number in range(hosts):
        record = HostRecord(
            peers_address=f"h{number}:1",
            callers_address=f"h{number}:2",
            zone=f"z{number % 3}",
            started_ms=1,
        )
        value = msgspec.json.encode(record)
        key = f"{HOSTS_PREFIX}h{number}"
        beliefs.take(MirrorItem(key, value, number + 1))
    assert beliefs.count_peers("z0") == peers
