"""Schema of experiments and the order of their runs."""

import pytest

from apricotseam.errors import InvalidFileError
from apricotseam.errors import UnknownNameError
from measure._experiment import Experiment
from measure._experiment import interleave
from measure._experiment import load_experiment
from measure._experiment import load_experiments
from measure._experiment import select

VALID = "{name: a, kind: k, variants: [x], seeds: [1], about: b}"


def experiment(name, variants, seeds, long=False):
    """Return an experiment of a kind that does not matter."""
    return Experiment(
        name=name,
        kind="k",
        variants=variants,
        seeds=seeds,
        long=long,
        about="",
    )


@pytest.mark.parametrize(
    "text",
    [
        VALID.replace("name: a", "name: other"),
        VALID.replace("seeds: [1]", "seeds: []"),
        VALID.replace("variants: [x]", "variants: []"),
        VALID.replace("seeds: [1]", "seeds: [one]"),
        VALID.replace("about: b", "about: b, unknown: 1"),
        VALID.replace("kind: k, ", ""),
        "{",
    ],
)
def test_invalid_experiment_is_refused(tmp_path, text):
    path = tmp_path / "a.yaml"
    path.write_text(text)
    with pytest.raises(InvalidFileError):
        load_experiment(path)


def test_every_committed_experiment_is_valid():
    assert load_experiments()


def test_runs_are_interleaved_over_variants_and_experiments():
    first = experiment("a", ["x", "y", "z"], [1, 2, 3])
    second = experiment("b", ["x"], [7])
    runs = interleave([first, second])
    got = [f"{r.experiment.name}{r.variant}{r.seed}" for r in runs]
    assert got == "ax1 ay1 az1 bx7 ay2 az2 ax2 az3 ax3 ay3".split()


@pytest.mark.parametrize(
    "names, is_long, wanted",
    [([], False, ["a"]), ([], True, ["b"]), (["b", "a"], False, ["b", "a"])],
)
def test_selection(names, is_long, wanted):
    known = {
        "a": experiment("a", ["x"], [1]),
        "b": experiment("b", ["x"], [1], long=True),
    }
    assert [e.name for e in select(known, names, is_long)] == wanted
    with pytest.raises(UnknownNameError):
        select(known, ["c"], False)
