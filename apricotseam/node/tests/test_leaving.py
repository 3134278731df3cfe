"""Times of a planned stop."""

import pytest

from apricotseam.node._leaving import refuse_after

# Seconds until the process is killed, and the latest time after the signal
# at which new requests may still be taken.
STOPS = [(8.0, 3.0), (20.0, 3.0), (4.0, 1.5), (1.0, 0.4)]


@pytest.mark.parametrize(("seconds", "latest"), STOPS)
def test_requests_are_refused_while_there_is_time_to_end_others(
    seconds, latest
):
    assert 0 < refuse_after(seconds) <= latest - 0.05 * seconds / 8
