"""Hosts that exchange evidence in any order come to the same decision."""

import hypothesis
from hypothesis import strategies

from apricotseam.quarantine._evidence import NEVER
from apricotseam.quarantine._evidence import TargetEnd
from apricotseam.quarantine._quarantine import Quarantine

TRAIT = "part/a"
NOW = 100.0

END = strategies.builds(
    TargetEnd,
    process=strategies.tuples(
        strategies.sampled_from("abcdefg"), strategies.just(1)
    ),
    request_key=strategies.sampled_from("rst"),
    customer=strategies.sampled_from("xy"),
    sent_at=strategies.just(90.0),
    at=strategies.integers(90, 99).map(float),
)
NOTICE = strategies.tuples(
    strategies.lists(END, max_size=4, unique_by=lambda end: end.process),
    strategies.sampled_from([NEVER, 91.5, 95.5, 98.5]),
)


def one_time_for_each_process(notices):
    """Return notices in which each process has ended once."""
    known = {}
    return [
        ([known.setdefault(end.process, end) for end in ends], sound_at)
        for ends, sound_at in notices
    ]


def state_after(notices):
    """Return what a host believes after some notices."""
    quarantine = Quarantine(lambda: NOW)
    for ends, sound_at in notices:
        quarantine.merge(TRAIT, ends, sound_at)
    evidence = dict(quarantine.items()).get(TRAIT)
    if evidence is None:
        return None
    return dict(evidence.ends), evidence.sound_at


@hypothesis.given(
    strategies.lists(NOTICE, max_size=6).map(one_time_for_each_process),
    strategies.randoms(use_true_random=False),
)
def test_order_and_repeats_of_notices_do_not_matter(notices, generator):
    other = [*notices, *notices[:2]]
    generator.shuffle(other)
    assert state_after(notices) == state_after(other)
