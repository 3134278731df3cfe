"""An engine that reports that it is leaving stays so in the target table."""

import types

import pytest

from apricotseam.config import Configuration
from apricotseam.config import Group
from apricotseam.config import PriorityClass
from apricotseam.config import ScopeFile
from apricotseam.config import Target
from apricotseam.config import TargetKind
from apricotseam.errors import TargetError
from apricotseam.external import EngineReport
from apricotseam.host._reports import TargetsChild
from apricotseam.routing import TargetTable

ADDRESSES = ["10.0.0.1:80", "10.0.0.2:80"]
LEAVING = True
STAYING = False
FAILING = None


class ScriptedEngine:
    """Answers for the first address as the test says."""

    def __init__(self):
        self.state = STAYING

    def report(self, address, deadline):
        """Return the report of an engine, or fail."""
        is_first = address == ADDRESSES[0]
        if is_first and self.state is FAILING:
            raise TargetError("no answer", "ask again")
        return EngineReport(
            name=address,
            model="m",
            version="v1",
            first=0,
            last=1,
            accelerator="l4",
            queued_steps=0,
            running_streams=0,
            max_batch=8,
            step_seconds=0.01,
            leaving=is_first and self.state,
        )


class EveryReport:
    """Schedule by which each report is due in each refresh."""

    def take_due(self, addresses, now):
        """Return all addresses."""
        return addresses

    def record_result(self, address, is_answered):
        """Ignore a result."""


class InlineExecutor:
    """Runs a function when it is submitted."""

    def submit(self, function, *arguments):
        """Run a function."""
        function(*arguments)


def make_configuration(addresses):
    """Return a configuration with one group of engines."""
    group = Group(
        name="engines",
        kind=TargetKind.ENGINE,
        targets=[
            Target(name=address, address=address, availability_zone="z")
            for address in addresses
        ],
    )
    scope_file = ScopeFile(
        scope="a",
        groups=[group],
        priorities=[PriorityClass(name="p", rank=1)],
        customers=[],
    )
    return Configuration(1, {"a": scope_file})


def watch_usable(table):
    """Return the targets that take work, as the choosers do."""
    return [target for target in table.all if not target.leaving]


# Description, states of the first engine at each refresh, whether it is
# leaving in the table after each.
CASES = [
    ("stays", [STAYING] * 3, [False] * 3),
    ("leaves", [STAYING] + [LEAVING] * 5, [False, False] + [True] * 4),
    (
        "leaves and ends",
        [LEAVING] + [FAILING] * 4,
        [False] + [True] * 4,
    ),
    (
        "fails before it leaves",
        [STAYING, FAILING, LEAVING, LEAVING],
        [False, False, False, True],
    ),
    (
        "another process comes to its address",
        [LEAVING, FAILING, STAYING, STAYING],
        [False, True, True, False],
    ),
]


@pytest.mark.parametrize(
    ("states", "expected"),
    [case[1:] for case in CASES],
    ids=[case[0] for case in CASES],
)
def test_engine_is_leaving_until_it_reports_otherwise(states, expected):
    """Guards against a report that is dropped because it says so."""
    engine = ScriptedEngine()
    snapshots = types.SimpleNamespace(
        configuration=make_configuration(ADDRESSES),
        listed_hosts={},
        targets=TargetTable(),
    )
    plans = types.SimpleNamespace(refresh=lambda *arguments: None)
    child = TargetsChild(engine, snapshots, EveryReport(), watch_usable, plans)
    child._executor = InlineExecutor()
    found = []
    for state in states:
        engine.state = state
        child.refresh()
        found.append(snapshots.targets.all[0].leaving)
    assert found == expected
