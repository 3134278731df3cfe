"""Experiments as YAML files and the order in which their runs go."""

import pathlib

import msgspec
import yaml

from apricotseam.errors import InvalidFileError
from apricotseam.errors import UnknownNameError

EXPERIMENTS = pathlib.Path(__file__).parent / "experiments"


class Experiment(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """One experiment.

    ``kind`` names a module of `measure.kinds`. The first of ``variants``
    is the product's; the others are baselines. ``about`` is one sentence.
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
    """Return the experiment of a YAML file.

    Raises
    ------
    InvalidFileError
        If the file breaks the schema or its name is not the experiment's.
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
            f"{path.name}: no variants or no seeds", "state at least one"
        )
    if experiment.name != path.stem:
        raise InvalidFileError(
            f"{path.name}: its name is {experiment.name!r}",
            "name the file after the experiment",
        )
    return experiment


def load_experiments(folder=EXPERIMENTS):
    """Return all experiments of a folder by name, in order."""
    found = [load_experiment(path) for path in sorted(folder.glob("*.yaml"))]
    return {experiment.name: experiment for experiment in found}


def select(experiments, names, is_long):
    """Return the named experiments, or all standing or long ones.

    Raises
    ------
    UnknownNameError
        If a name is not known.
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
    """Return the runs of experiments so that drift falls on all variants.

    Each round takes one seed of each experiment and all its variants one
    after another; the variant that goes first changes with each round.

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
                runs.extend(_round(experiment, number))
    return runs


def _round(experiment, number):
    variants = experiment.variants
    first = number % len(variants)
    return [
        Run(experiment=experiment, variant=v, seed=experiment.seeds[number])
        for v in (*variants[first:], *variants[:first])
    ]
