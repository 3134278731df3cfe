"""Which evidence makes requests be held back, and which releases them."""

import msgspec
import pytest

from apricotseam.quarantine._evidence import TargetEnd
from apricotseam.quarantine._quarantine import FORGET_SECONDS
from apricotseam.quarantine._quarantine import Quarantine
from apricotseam.quarantine._quarantine import SETTLE_SECONDS
from apricotseam.quarantine._table import MAX_CUSTOMER_TRAITS
from apricotseam.quarantine._table import MAX_TRAITS
from apricotseam.quarantine._traits import PART_RULE
from apricotseam.quarantine._traits import REQUEST_RULE

TRAIT = "part/a"


class Clock:
    """Time that a test sets."""

    def __init__(self):
        self.time = 100.0

    def __call__(self):
        """Return the time."""
        return self.time


class Step(msgspec.Struct, frozen=True):
    """An end, or a sound answer, some seconds after the one before."""

    pause: float
    process: str = ""
    request: str = "r1"
    customer: str = "c1"
    run_seconds: float = 0.2
    trait: str = ""
    is_late: bool = False

    def play(self, quarantine, clock, trait=TRAIT):
        """Record the step."""
        clock.time += self.pause
        if not self.process:
            quarantine.record_sound([trait], self.customer)
            return
        end = TargetEnd(
            process=(self.process, 1),
            request_key=self.request,
            customer=self.customer,
            sent_at=clock.time - self.run_seconds,
            at=clock.time,
            is_late=self.is_late,
        )
        quarantine.record_end([self.trait or trait], end)


def ends(count, pause=1.0, first=0):
    """Return steps in which targets end, each under another request."""
    return [Step(pause, f"t{n}", f"r{n}") for n in range(first, first + count)]


def late_ends(count, first=20):
    """Return steps in which targets end that had written for long."""
    return [
        Step(1.0, f"t{n}", f"r{n}", run_seconds=1.5, is_late=True)
        for n in range(first, first + count)
    ]


def power_loss(with_part, without_part):
    """Return steps in which processes end at once, some without the trait."""
    others = [
        Step(0.002, f"u{n}", f"u{n}", trait=f"part/u{n}")
        for n in range(without_part)
    ]
    return [*ends(with_part, 0.002), *others]


# Description, steps, whether a request of customer c1 and one of another
# customer are held back after them.
CASES = [
    ("two ends are too few", ends(2), False, False),
    ("three ends one after another", ends(3), True, False),
    (
        "three ends under one request and its repeats",
        [Step(1.0, f"t{n}") for n in range(3)],
        False,
        False,
    ),
    (
        "three ends under two requests",
        [Step(1.0, "t1"), Step(1.0, "t2"), Step(1.0, "t3", "r2")],
        True,
        False,
    ),
    ("a loss of power ends many at once", power_loss(20, 20), False, False),
    (
        "a loss of power ends processes with a part that was sound before",
        [Step(0.0), *power_loss(20, 0)],
        False,
        False,
    ),
    (
        "streams that were in progress for long on targets that end",
        [*ends(2), *late_ends(3)],
        False,
        False,
    ),
    ("streams that end targets after a while", late_ends(6), True, False),
    ("requests end many at once", power_loss(20, 3), True, False),
    (
        "requests end one at a time beside a loss of power",
        [*power_loss(1, 20), *ends(2, first=10)],
        True,
        False,
    ),
    (
        "an end that several requests report",
        [Step(1.0, "t1", f"r{n}") for n in range(5)],
        False,
        False,
    ),
    (
        "a sound answer in between",
        [*ends(2), Step(0.5), *ends(2, first=2)],
        False,
        False,
    ),
    ("a sound answer afterwards", [*ends(3), Step(0.5)], False, False),
    ("sound shortly before", [Step(0.0), *ends(4)], False, False),
    ("sound before, five ends", [Step(0.0), *ends(5)], True, False),
    (
        "sound long before",
        [Step(0.0), Step(40.0, "t1"), *ends(2, first=2)],
        True,
        False,
    ),
    (
        "requests of two customers",
        [*ends(2), Step(1.0, "t9", "r9", "c2")],
        True,
        True,
    ),
]


@pytest.mark.parametrize(
    ("steps", "is_held", "is_held_for_others"),
    [case[1:] for case in CASES],
    ids=[case[0] for case in CASES],
)
def test_requests_are_held_back(steps, is_held, is_held_for_others):
    clock = Clock()
    quarantine = Quarantine(clock)
    for step in steps:
        step.play(quarantine, clock)
    clock.time += 2 * SETTLE_SECONDS
    traits = ["part/other", TRAIT]
    assert bool(quarantine.find_hold(traits, "c1")) is is_held
    assert bool(quarantine.find_hold(traits, "c3")) is is_held_for_others
    assert quarantine.find_hold(["part/other"], "c1") is None


# Description, times at which an answer began and processes ended, whether
# requests are held back after the answer.
ANSWERS = [
    ("it began before the ends", 0.5, [1.0, 2.0, 3.0, 4.0, 5.0], True),
    ("it began after the first end", 1.5, [1.0, 2.0, 3.0, 4.0, 5.0], False),
]


# Guards against sound answers that began before a part did harm.
@pytest.mark.parametrize(
    ("began_at", "ended_at", "is_held"),
    [case[1:] for case in ANSWERS],
    ids=[case[0] for case in ANSWERS],
)
def test_answer_speaks_for_the_time_since_it_began(
    began_at, ended_at, is_held
):
    clock = Clock()
    start = clock.time
    quarantine = Quarantine(clock)
    pauses = [b - a for a, b in zip([0.0, *ended_at], ended_at)]
    for number, pause in enumerate(pauses):
        Step(pause, f"t{number}", f"r{number}").play(quarantine, clock)
    quarantine.record_sound([TRAIT], "c1", start + began_at)
    assert bool(quarantine.find_hold([TRAIT], "c1")) is is_held


# Description, ends before a stream with the part has written for a while,
# whether they are disproved by it.
SURVIVALS = [
    ("targets end at once", ends(4), True),
    ("targets end after a while", [*ends(3), *late_ends(1)], False),
]


# Guards against streams that are taken as sound before their targets end, and
# against parts of sound streams that are held back until one is complete.
@pytest.mark.parametrize(
    ("steps", "is_free"),
    [case[1:] for case in SURVIVALS],
    ids=[case[0] for case in SURVIVALS],
)
def test_stream_that_goes_on_disproves_ends_that_came_sooner(steps, is_free):
    clock = Clock()
    quarantine = Quarantine(clock)
    for step in steps:
        step.play(quarantine, clock)
    assert quarantine.find_hold([TRAIT], "c1")
    quarantine.record_survival([TRAIT], "c1", clock.time - 1.0)
    assert (quarantine.find_hold([TRAIT], "c1") is None) is is_free


REQUEST = "request/a"
# Description, steps, whether a request is held back after them.
REQUEST_CASES = [
    ("two ends", [Step(1.0, "t1"), Step(1.0, "t2")], False),
    (
        "three ends of a request",
        [Step(1.0, f"t{n}") for n in range(3)],
        True,
    ),
    (
        "two of three ends are joint",
        [Step(1.0, "t1"), Step(0.05, "t2"), Step(1.0, "t3")],
        False,
    ),
    (
        "repeats that were sent after the end before",
        [Step(0.05, f"t{n}", run_seconds=0.03) for n in range(3)],
        True,
    ),
    (
        "sound shortly before",
        [Step(0.0), *(Step(1.0, f"t{n}") for n in range(3))],
        False,
    ),
    (
        "a sound answer in between",
        [Step(1.0, "t1"), Step(1.0, "t2"), Step(1.0), Step(1.0, "t3")],
        False,
    ),
]


@pytest.mark.parametrize(
    ("steps", "is_held"),
    [case[1:] for case in REQUEST_CASES],
    ids=[case[0] for case in REQUEST_CASES],
)
def test_repeats_of_a_request_are_held_back(steps, is_held):
    clock = Clock()
    quarantine = Quarantine(clock)
    for step in steps:
        step.play(quarantine, clock, REQUEST)
    assert bool(quarantine.find_hold([REQUEST], "c1")) is is_held


@pytest.mark.parametrize(
    ("trait", "rule"), [(TRAIT, PART_RULE), (REQUEST, REQUEST_RULE)]
)
@pytest.mark.parametrize("extra", range(4))
def test_trials_end_with_the_last_end_that_may_be_learnt(trait, rule, extra):
    clock = Clock()
    quarantine = Quarantine(clock)
    count = rule.min_ends + extra
    for step in ends(count):
        step.play(quarantine, clock, trait)
    hold = quarantine.find_hold([trait], "c1")
    trial_at = clock.time + rule.trial_wait_seconds
    assert hold.trial_at == (trial_at if count < rule.final_ends else None)


# Guards against parts of sound requests that are held back for the ends that
# another part causes.
def test_ends_that_a_part_explains_speak_against_no_other():
    clock = Clock()
    quarantine = Quarantine(clock)
    Step(0.0).play(quarantine, clock, "part/beside")
    for number in range(7):
        for trait in (TRAIT, "part/beside"):
            step = Step(0.01, f"t{number}", f"{trait}{number}")
            step.play(quarantine, clock, trait)
        clock.time += 1.0
    assert list(quarantine.held) == [TRAIT]
    clock.time += 1.0
    for step in ends(5, first=10):
        step.play(quarantine, clock, "part/beside")
    assert list(quarantine.held) == [TRAIT, "part/beside"]


# Guards against a common part that stays held back once the part is known
# that ends processes, and the other way round.
def test_explained_hold_ends_and_an_end_of_a_hold_explains_nothing():
    clock = Clock()
    quarantine = Quarantine(clock)
    common, bad = "part/common", "part/bad"
    Step(0.0).play(quarantine, clock, common)
    for step in ends(5):
        step.play(quarantine, clock, common)
    assert list(quarantine.held) == [common]
    clock.time -= 4.0
    for step in ends(5, 0.99):
        step.play(quarantine, clock, bad)
    assert list(quarantine.held) == [bad]
    quarantine.release(bad)
    assert list(quarantine.held) == [common]


# Guards against a hold without trials after a single loss of power.
def test_joint_ends_alone_leave_room_for_a_trial():
    clock = Clock()
    quarantine = Quarantine(clock)
    for step in power_loss(12, 0):
        step.play(quarantine, clock)
    clock.time += 2 * SETTLE_SECONDS
    assert quarantine.find_hold([TRAIT], "c1").trial_at is not None
    for step in ends(2, first=20):
        step.play(quarantine, clock)
    assert quarantine.find_hold([TRAIT], "c1").trial_at is None


# Guards against requests that waited at targets which end, one after another.
def test_requests_that_waited_are_no_cause_if_another_had_begun():
    clock = Clock()
    quarantine = Quarantine(clock)
    for number in range(3):
        clock.time += 1.0
        for trait, is_begun in ((TRAIT, True), ("part/waiting", False)):
            end = TargetEnd(
                process=(f"t{number}", 1),
                request_key=f"{trait}{number}",
                customer="c1",
                sent_at=clock.time - 0.2,
                at=clock.time,
                is_begun=is_begun,
            )
            quarantine.record_end([trait], end)
    assert list(quarantine.held) == [TRAIT]


def test_operator_releases_a_trait_until_targets_end_anew():
    clock = Clock()
    quarantine = Quarantine(clock)
    for step in ends(6):
        step.play(quarantine, clock)
    clock.time += 1.0
    assert quarantine.release(TRAIT)
    assert not quarantine.release(TRAIT)
    assert quarantine.find_hold([TRAIT], "c1") is None
    for step in ends(5, first=10):
        step.play(quarantine, clock)
    assert quarantine.find_hold([TRAIT], "c1")


def test_trait_is_kept_while_requests_have_it():
    clock = Clock()
    quarantine = Quarantine(clock)
    for step in ends(6):
        step.play(quarantine, clock)
    for _ in range(3):
        clock.time += 0.9 * FORGET_SECONDS
        quarantine.record_held(TRAIT)
        quarantine.expire()
        assert quarantine.held
    clock.time += 1.1 * FORGET_SECONDS
    quarantine.expire()
    assert not quarantine.held


def test_one_customer_displaces_only_its_own_traits():
    clock = Clock()
    quarantine = Quarantine(clock)
    for step in ends(2):
        step.play(quarantine, clock)
    for number in range(2 * MAX_TRAITS):
        end = TargetEnd(
            process=("x", number),
            request_key="r",
            customer="c2",
            sent_at=199.0,
            at=200.0,
        )
        quarantine.record_end([f"part/{number}"], end)
    assert len(quarantine.items()) == 1 + MAX_CUSTOMER_TRAITS
    Step(1.0, "t9", "r9").play(quarantine, clock)
    assert quarantine.find_hold([TRAIT], "c1")


# Guards against a part that ends targets and is displaced by those of the
# many requests that its targets broke off.
def test_traits_with_one_end_displace_none_with_more():
    clock = Clock()
    quarantine = Quarantine(clock)
    for number in range(3):
        Step(1.0, f"t{number}", f"r{number}").play(quarantine, clock)
        for beside in range(MAX_CUSTOMER_TRAITS - 1):
            end = Step(0.0, f"t{number}", f"{number}/{beside}")
            end.play(quarantine, clock, f"part/{number}/{beside}")
    assert list(quarantine.held) == [TRAIT]
    assert len(quarantine.items()) == MAX_CUSTOMER_TRAITS


# Guards against an error where all traits of a customer are telling ones.
def test_new_trait_is_dropped_if_all_others_say_more():
    clock = Clock()
    quarantine = Quarantine(clock)
    for number in range(MAX_CUSTOMER_TRAITS):
        for step in ends(2, 0.0):
            step.play(quarantine, clock, f"part/{number}")
    Step(1.0, "t9", "r9").play(quarantine, clock)
    assert TRAIT not in dict(quarantine.items())
    assert len(quarantine.items()) == MAX_CUSTOMER_TRAITS


# Guards against ends that others count although a host knows better.
def test_sound_answer_is_told_to_those_who_tell_of_an_end_before():
    clock = Clock()
    quarantine = Quarantine(clock)
    ended_at = clock.time
    clock.time += 0.2
    quarantine.record_sound([TRAIT], "c1")
    sound_at = clock.time
    clock.time += 0.1
    end = TargetEnd(
        process=("t1", 1),
        request_key="r1",
        customer="c1",
        sent_at=ended_at - 0.2,
        at=ended_at,
    )
    quarantine.merge(TRAIT, [end])
    evidence = dict(quarantine.items())[TRAIT]
    assert not evidence.ends
    assert evidence.sound_at == sound_at
    assert evidence.changed_at == clock.time


# Guards against a trial of one trait with a request that has another, under
# which targets are known to end.
def test_request_with_two_traits_that_are_held_back_gets_the_stricter_hold():
    clock = Clock()
    quarantine = Quarantine(clock)
    tried, final = TRAIT, "part/final"
    for step in ends(3):
        step.play(quarantine, clock, tried)
    for step in ends(5, first=10):
        step.play(quarantine, clock, final)
    hold = quarantine.find_hold([tried, final], "c1")
    assert (hold.trait, hold.trial_at) == (final, None)
    later = "part/later"
    for step in ends(3, first=20):
        step.play(quarantine, clock, later)
    assert quarantine.find_hold([tried, later], "c1").trait == later
