"""Results kept, compared and written into tables."""

import pytest

from apricotseam.errors import InvalidFileError
from measure._compare import moved_lines
from measure._experiment import Experiment
from measure._experiment import Run
from measure._figure import Figure
from measure._results import keep
from measure._results import Outcome
from measure._results import read_results
from measure._results import results_here
from measure._runner import run_one
from measure._statistics import compare
from measure._tables import experiment_section
from measure._tables import replace_marked
from measure._tables import unmet

EXPERIMENT = Experiment(
    name="e", kind="k", variants=["new", "old"], seeds=[1, 2, 3], about="a"
)


def outcome(variant, seed, value, bound=None, name="e", error=None):
    """Return an outcome with one figure, or with an error and none."""
    figure = Figure(name="f", value=value, unit="s", bound=bound)
    return Outcome(
        experiment=name,
        kind="k",
        variant=variant,
        seed=seed,
        parameters={},
        revision="r",
        started=0.0,
        seconds=0.0,
        figures=[] if error else [figure],
        error=error,
    )


def results(values, **options):
    """Return results of the product's variant with one value a seed."""
    return results_here(
        [outcome("new", s, v, **options) for s, v in enumerate(values, 1)]
    )


@pytest.mark.parametrize(
    "old, new, has_moved",
    [
        ([1.0, 1.1, 0.9], [1.05, 0.95, 1.0], False),
        ([1.0, 1.1, 0.9], [2.0, 2.1, 1.9], True),
        ([1.0, 5.0, 9.0], [1.5, 5.5, 9.5], True),
        ([1.0, 1.0, 1.0], [1.0, 1.0, 1.0], False),
        ([1.0], [9.0], False),
        ([1.0, 1.1, 0.9, 1.0], [2.0, 2.1, 1.9], True),
        ([1.0, 3.0, 0.5, 2.0], [2.0, 2.1, 1.9], False),
    ],
)
def test_moves_are_told_from_noise(old, new, has_moved):
    sides = [dict(enumerate(side)) for side in (old, new)]
    assert compare(*sides).has_moved == has_moved
    lines = moved_lines(results(old), results(new))
    assert len(lines) == 1 + has_moved


def test_replaced_experiments_are_kept_aside(tmp_path):
    paths = tmp_path / "latest.json", tmp_path / "previous.json"
    other = results_here([outcome("new", 1, 7.0, name="other")])
    for taken in (results([1.0]), other, results([2.0])):
        keep(taken, *paths)
    latest, previous = map(read_results, paths)
    assert latest.experiments == ["e", "other"]
    assert latest.of("e")[0].figures[0].value == 2.0
    assert previous.of("e")[0].figures[0].value == 1.0
    assert previous.experiments == ["e"]


def test_table_shows_unmet_bounds_of_the_product_only():
    taken = results_here(
        [
            *results([1.0, 4.0, 3.0], bound=2.0).outcomes,
            outcome("old", 1, 9.0, bound=2.0),
            outcome("old", 2, 0.0, error="it broke"),
        ]
    )
    section = experiment_section(taken, EXPERIMENT)
    assert "| new | f | 3 | 1 to 4 | s | ≤ 2 | **NOT MET** |" in section
    assert "| old | f | 9 | 9 to 9 | s | ≤ 2 |  |" in section
    assert "FAILED: old, seed 2: it broke" in section
    assert len(unmet(taken, [EXPERIMENT])) == 2
    assert not unmet(results([1.0], bound=2.0), [EXPERIMENT])


def test_page_without_markers_is_refused():
    with pytest.raises(InvalidFileError):
        replace_marked("<!-- begin x -->", "x", "new")


def test_failed_run_is_an_outcome_with_an_error():
    experiment = Experiment(
        name="e", kind="not_there", variants=["x"], seeds=[1], about=""
    )
    run = Run(experiment=experiment, variant="x", seed=1)
    assert "not_there" in run_one(run, "r").error
