"""How many repeats one host may send at once."""

import pytest

from apricotseam.forwarding import RepeatCount
from apricotseam.forwarding import RetryAllowance

RATIO = 0.2
SLACK = 350.0
WINDOW_SECONDS = 10.0

# Hosts, those that this one hears of, the least it may repeat at once.
FLEETS = [
    ("alone", 1, 0, 290),
    ("small", 8, 7, 36),
    ("one zone of three", 90, 29, 3),
    ("out of contact", 8, 0, 36),
]


@pytest.mark.parametrize(
    ("hosts", "heard", "least"),
    [case[1:] for case in FLEETS],
    ids=[case[0] for case in FLEETS],
)
def test_share_of_one_host(hosts, heard, least):
    allowance = RetryAllowance(RATIO, SLACK, WINDOW_SECONDS, lambda: hosts)
    for number in range(heard):
        allowance.take_peer(f"h{number}", {}, 0.0)
    count = 0
    while allowance.spend("s", 0.0):
        count += 1
    assert least <= count <= SLACK * (1 + heard) / hosts


def test_requests_of_hosts_out_of_contact_allow_nothing():
    """They may be using what their requests allow themselves."""
    allowance = RetryAllowance(RATIO, 0.0, WINDOW_SECONDS, lambda: 2)
    allowance.take_peer("h1", {"s": RepeatCount(1000, 0)}, 0.0)
    assert not allowance.spend("s", 5.0)
