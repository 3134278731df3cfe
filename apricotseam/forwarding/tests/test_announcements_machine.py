"""Targets leave, rest, restart and are listed again in any order."""

import types

from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis import strategies

from apricotseam.chains import Ledger
from apricotseam.fleet import AnnouncementSource
from apricotseam.fleet import Fleet
from apricotseam.fleet import LayerRange
from apricotseam.fleet import MAX_REST_SECONDS
from apricotseam.fleet import TargetRecord
from apricotseam.forwarding import TargetSelector
from apricotseam.forwarding.tests.test_choice import PROFILE
from apricotseam.positions import Position
from apricotseam.routes import NO_FEATURES

TARGETS = 5
# Layers of each target; the last one serves the plain service.
LAYERS = [(0, 2), (2, 4), (0, 2), (2, 4), None]
ENGINE = types.SimpleNamespace(name="model", engine=PROFILE)
PLAIN = types.SimpleNamespace(name="plain", engine=None)

numbers = strategies.integers(0, TARGETS - 1)
seconds_choices = strategies.sampled_from([0.0, 0.3, 1.0, 5.0, 1e30])


class AnnouncementMachine(RuleBasedStateMachine):
    """A model of what each process said, beside the real classes."""

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.revision = 0
        self.drained = []
        self.fleet = Fleet(on_drain=self.drained.append)
        self.selector = TargetSelector(self.fleet, Ledger(), "a")
        self.born = [1] * TARGETS
        self.listed = [None] * TARGETS
        self.draining = [False] * TARGETS
        self.left = set()
        self.rests = {}
        for number in range(TARGETS):
            self.list_entry(number, False)

    def identity(self, number):
        return f"t{number}"

    def incarnation(self, number, age=0):
        return (self.identity(number), max(1, self.born[number] - age))

    def make_record(self, number, is_draining, revision):
        layers = LAYERS[number]
        return TargetRecord(
            identity=self.identity(number),
            service="model" if layers else "plain",
            address=f"10.0.0.{number}:80",
            zone="a",
            kind="fast" if layers else "",
            layers=LayerRange(*layers) if layers else None,
            slots=8,
            is_draining=is_draining,
            born_ms=self.born[number],
            position=Position(revision),
        )

    @rule(number=numbers, is_draining=strategies.booleans())
    def list_entry(self, number, is_draining):
        """The store lists the process that runs now."""
        self.revision += 1
        self.fleet.update(self.make_record(number, is_draining, self.revision))
        self.listed[number] = self.born[number]
        self.draining[number] = is_draining

    @rule(number=numbers)
    def list_older_entry(self, number):
        """The store's word, ready, that is older than all else."""
        self.fleet.update(self.make_record(number, False, 0))
        self.listed[number] = self.born[number]
        self.draining[number] = False

    @rule(number=numbers, was_unreachable=strategies.booleans())
    def remove_entry(self, number, was_unreachable):
        target = self.fleet.get(self.identity(number))
        is_kept = target is not None and was_unreachable
        if is_kept:
            is_kept = not target.is_draining
        self.fleet.remove(self.identity(number), self.now, may_return=is_kept)
        if not is_kept:
            self.listed[number] = None

    @rule(number=numbers)
    def restart(self, number):
        """A new process starts; its entry is written later."""
        self.born[number] += 1

    @rule(
        number=numbers,
        age=strategies.integers(0, 1),
        source=strategies.sampled_from(
            [AnnouncementSource.OWN_ANSWER, AnnouncementSource.PEER]
        ),
    )
    def leave(self, number, age, source):
        """The process says it leaves, or the one before it did, read late."""
        incarnation = self.incarnation(number, age)
        self.fleet.record_leaving(incarnation, source, self.now, 0.5)
        self.left.add(incarnation)

    @rule(
        number=numbers, age=strategies.integers(0, 1), seconds=seconds_choices
    )
    def rest(self, number, age, seconds):
        incarnation = self.incarnation(number, age)
        self.fleet.record_rest(incarnation, seconds, self.now)
        until = self.now + min(seconds, MAX_REST_SECONDS)
        self.rests[incarnation] = max(until, self.rests.get(incarnation, 0.0))

    @rule(seconds=strategies.sampled_from([0.1, 0.5, 2.5, 700.0]))
    def wait(self, seconds):
        self.now += seconds
        self.fleet.expire(self.now)
        for number in range(TARGETS):
            if self.fleet.get(self.identity(number)) is None:
                self.listed[number] = None

    def may_send(self, number, now):
        """Return whether, by the model, a new request may be sent."""
        if self.listed[number] is None or self.draining[number]:
            return False
        incarnation = (self.identity(number), self.listed[number])
        is_resting = now < self.rests.get(incarnation, 0.0)
        return incarnation not in self.left and not is_resting

    def can_serve_engine(self, now):
        allowed = [n for n in range(4) if self.may_send(n, now)]
        return {LAYERS[n] for n in allowed} == {(0, 2), (2, 4)}

    def make_call(self, service):
        metadata = types.SimpleNamespace(
            prompt_tokens=10, expected_answer_tokens=10, max_answer_tokens=None
        )
        return types.SimpleNamespace(
            metadata=metadata,
            service=service,
            failed_targets=set(),
            load=NO_FEATURES,
        )

    @invariant()
    def targets_agree_with_the_model(self):
        for number in range(TARGETS):
            target = self.fleet.get(self.identity(number))
            found = target is not None and target.may_send(self.now)
            assert found is self.may_send(number, self.now), number

    @invariant()
    def only_allowed_targets_are_chosen(self):
        """A choice is made if and only if allowed targets can serve."""
        chain = self.selector.choose_chain(self.make_call(ENGINE), self.now)
        assert (chain is not None) is self.can_serve_engine(self.now)
        single = self.selector.choose_target(self.make_call(PLAIN), self.now)
        assert (single is not None) is self.may_send(TARGETS - 1, self.now)
        for choice in (chain, single):
            for target, _ in choice.stages if choice else ():
                assert self.may_send(int(target.identity[1:]), self.now)

    @invariant()
    def told_end_of_a_rest_is_the_first_that_helps(self):
        end = self.selector.opens_at(ENGINE, self.now)
        if end is None:
            ends = [e for e in self.rests.values() if e > self.now]
            is_served = self.can_serve_engine(self.now)
            assert is_served or not any(self.can_serve_engine(e) for e in ends)
            return
        assert not self.can_serve_engine(self.now)
        assert self.can_serve_engine(end)
        earlier = [e for e in self.rests.values() if self.now < e < end]
        assert not any(self.can_serve_engine(e) for e in earlier)


TestAnnouncements = AnnouncementMachine.TestCase
