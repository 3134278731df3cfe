"""Results of runs, stored as JSON files."""

import os
import pathlib
import platform

import msgspec

from measure._figure import Figure

RESULTS_FOLDER = pathlib.Path(__file__).parent / "results"
LATEST_FILE = RESULTS_FOLDER / "latest.json"
PREVIOUS_FILE = RESULTS_FOLDER / "previous.json"


class Outcome(msgspec.Struct, frozen=True, kw_only=True):
    """Figures or error of one run.

    ``revision`` is the Git revision of the code that ran, ``started`` the
    time of the start in seconds since the epoch, and ``seconds`` the
    duration. ``error`` is set for a failed run: the last line of its
    standard error, its exit code or its time-out.
    """

    experiment: str
    kind: str
    variant: str
    seed: int
    parameters: dict
    revision: str
    started: float
    seconds: float
    figures: list[Figure] = []
    error: str | None = None


class Results(msgspec.Struct, frozen=True, kw_only=True):
    """Outcomes of runs on one machine."""

    processors: int
    python: str
    outcomes: list[Outcome]

    @property
    def experiments(self):
        """Names of the experiments in order of their first outcome."""
        return list(dict.fromkeys(o.experiment for o in self.outcomes))

    def outcomes_of(self, experiment):
        """Return the outcomes of one experiment."""
        return [o for o in self.outcomes if o.experiment == experiment]

    def samples(self):
        """Return the figures by experiment, variant and name.

        Returns
        -------
        dict of (str, str, str) to dict of int to Figure
            Figures by seed, for each experiment, variant and name.
        """
        samples = {}
        for outcome in self.outcomes:
            for figure in outcome.figures:
                key = (outcome.experiment, outcome.variant, figure.name)
                samples.setdefault(key, {})[outcome.seed] = figure
        return samples


def local_results(outcomes):
    """Return `Results` with outcomes of runs on this machine."""
    return Results(
        processors=os.cpu_count(),
        python=platform.python_version(),
        outcomes=outcomes,
    )


def read_results(path=LATEST_FILE):
    """Return the results of a file; without a file they are empty."""
    if not path.exists():
        return local_results([])
    return msgspec.json.decode(path.read_bytes(), type=Results)


def write_results(results, path):
    """Write results as indented JSON, so that changes are easy to read."""
    path.parent.mkdir(parents=True, exist_ok=True)
    text = msgspec.json.format(msgspec.json.encode(results), indent=1)
    path.write_bytes(text + b"\n")


def merge(old, new):
    """Return results in which new experiments replace old ones.

    All old outcomes of an experiment are dropped if there are new ones.
    """
    replaced_names = set(new.experiments)
    kept = [o for o in old.outcomes if o.experiment not in replaced_names]
    outcomes = sorted([*kept, *new.outcomes], key=lambda o: o.experiment)
    return local_results(outcomes)


def store_results(new, latest=LATEST_FILE, previous=PREVIOUS_FILE):
    """Merge new results into the latest ones.

    The outcomes that they replace are merged into the previous results.

    Parameters
    ----------
    new : Results
        Results to store.
    latest, previous : pathlib.Path
        Files of the latest and the previous results.
    """
    old = read_results(latest)
    replaced_names = set(new.experiments)
    replaced = [o for o in old.outcomes if o.experiment in replaced_names]
    if replaced:
        kept = merge(read_results(previous), local_results(replaced))
        write_results(kept, previous)
    write_results(merge(old, new), latest)
