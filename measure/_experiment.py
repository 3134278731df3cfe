"""Experiments defined in YAML files, and the order of their runs."""

import pathlib

import msgspec
import yaml

from apricotseam.errors import InvalidFileError
from apricotseam.errors import UnknownNameError

EXPERIMENTS_FOLDER = pathlib.Path(__file__).parent / "experiments"


class Experiment(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """One experiment.

    ``kind`` names a module of `measure.kinds`, to which ``parameters`` are
    passed. The first of ``variants`` is the router as shipped; the others
    are baselines. Each variant runs once with each of ``seeds``. ``about``
    describes the experiment in one sentence. Experiments with ``long`` run
    only if they are named or long experiments are requested.
    """

    name: str
    kind: str
    variants: list[str]
    parameters: dict = {}
    seeds: list[int]
    long: bool = False
    about: str


class Run(msgspec.Struct, frozen=True, kw_only=True):
    """One variant of an experiment with one seed."""

    experiment: Experiment
    variant: str
    seed: int


def load_experiment(path):
    """Return the experiment that a YAML file defines.

    Raises
    ------
    InvalidFileError
        If the file does not follow the schema, has no variants or seeds,
        or is not named after the experiment.
    """
    try:
        data = yaml.safe_load(path.read_text())
        experiment = msgspec.convert(data, Experiment, strict=True)
    except (yaml.YAMLError, msgspec.ValidationError) as error:
        raise InvalidFileError(
            f"{path.name}: {error}", "correct the experiment"
        ) from None
    if not experiment.variants or not experiment.seeds:
        raise InvalidFileError(
            f"{path.name}: no variants or no seeds",
            "list at least one of each",
        )
    if experiment.name != path.stem:
        raise InvalidFileError(
            f"{path.name}: the experiment is named {experiment.name!r}",
            "name the file after the experiment",
        )
    return experiment


def load_experiments(folder=EXPERIMENTS_FOLDER):
    """Return all experiments of a folder by name, sorted by file name."""
    loaded = [load_experiment(path) for path in sorted(folder.glob("*.yaml"))]
    return {experiment.name: experiment for experiment in loaded}


def select(experiments, names, is_long):
    """Return the named experiments, or all of one length.

    Parameters
    ----------
    experiments : dict of str to Experiment
        All experiments by name.
    names : sequence of str
        Names of the experiments to return, in this order.
    is_long : bool
        Used if ``names`` is empty: whether to return the long
        experiments or all others.

    Raises
    ------
    UnknownNameError
        If there is no experiment of a name.
    """
    if not names:
        return [e for e in experiments.values() if e.long == is_long]
    for name in names:
        if name not in experiments:
            raise UnknownNameError(
                f"unknown experiment {name!r}",
                "list them with `python -m measure list`",
            )
    return [experiments[name] for name in names]


def interleave(experiments):
    """Return runs ordered so that machine drift affects all variants alike.

    Each round runs all variants of each experiment with one of its seeds;
    the variant that runs first changes with each round.

    Examples
    --------
    >>> experiment = Experiment(
    ...     name="a", kind="k", variants=["new", "old"], seeds=[1, 2], about=""
    ... )
    >>> [(run.seed, run.variant) for run in interleave([experiment])]
    [(1, 'new'), (1, 'old'), (2, 'old'), (2, 'new')]
    """
    runs = []
    rounds = max((len(e.seeds) for e in experiments), default=0)
    for number in range(rounds):
        for experiment in experiments:
            if number < len(experiment.seeds):
                runs.extend(_runs_of_round(experiment, number))
    return runs


def _runs_of_round(experiment, number):
    variants = experiment.variants
    first = number % len(variants)
    return [
        Run(experiment=experiment, variant=v, seed=experiment.seeds[number])
        for v in (*variants[first:], *variants[:first])
    ]
