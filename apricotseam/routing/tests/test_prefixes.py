"""Prefix knowledge from late and gappy cache events."""

import hypothesis
from hypothesis import strategies as st

from apricotseam.routing._prefixes import HELD
from apricotseam.routing._prefixes import MAX_PREFIXES
from apricotseam.routing import PrefixTable


def test_old_events_change_nothing():
    table = PrefixTable()
    table.applied("e", 1, "p", True)
    table.applied("e", 2, "p", False)
    table.applied("e", 1, "p", True)
    assert table.chance("e", "p") == 0.0


def test_restart_forgets_the_engine():
    table = PrefixTable()
    table.applied("e", 7, "p", True)
    table.forget("e")
    assert table.chance("e", "p") == 0.0
    table.applied("e", 1, "q", True)
    assert table.chance("e", "q") == 1.0


def test_own_work_is_known_before_its_event():
    table = PrefixTable()
    table.sent("e", "p")
    assert table.chance("e", "p") == 1.0
    assert table.holders("p") == ("e",)


def test_table_is_bounded():
    table = PrefixTable()
    for number in range(MAX_PREFIXES + 100):
        table.sent(f"e{number % 7}", str(number))
    assert table.size <= MAX_PREFIXES


@hypothesis.given(
    st.lists(
        st.tuples(st.sampled_from("pqr"), st.booleans(), st.booleans()),
        max_size=40,
    )
)
def test_held_is_claimed_only_when_no_event_was_missed(events):
    """An engine's true cache against what late, lost events tell of it."""
    table = PrefixTable()
    told = {}
    gap_open = False
    for number, (prefix, is_held, is_lost) in enumerate(events, 1):
        if is_lost:
            gap_open = True
            continue
        if gap_open:
            told.clear()
            gap_open = False
        told[prefix] = is_held
        table.applied("e", number, prefix, is_held)
    for prefix in "pqr":
        if table.chance("e", prefix) == HELD:
            assert told.get(prefix)
