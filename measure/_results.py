"""Results of runs as JSON files."""

import os
import pathlib
import platform

import msgspec

from measure._figure import Figure

RESULTS = pathlib.Path(__file__).parent / "results"
LATEST = RESULTS / "latest.json"
PREVIOUS = RESULTS / "previous.json"


class Outcome(msgspec.Struct, frozen=True, kw_only=True):
    """What one run gave.

    ``revision`` is the revision of the code that ran and ``started`` a
    wall-clock time in seconds. ``error`` is the last line of a failed run.
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
        """Names of the experiments in order."""
        return list(dict.fromkeys(o.experiment for o in self.outcomes))

    def of(self, experiment):
        """Return the outcomes of one experiment."""
        return [o for o in self.outcomes if o.experiment == experiment]

    def samples(self):
        """Return figures by experiment, variant and name.

        Returns
        -------
        dict of (str, str, str) to dict of int to Figure
            Figures by seed.
        """
        table = {}
        for outcome in self.outcomes:
            for figure in outcome.figures:
                key = (outcome.experiment, outcome.variant, figure.name)
                table.setdefault(key, {})[outcome.seed] = figure
        return table


def results_here(outcomes):
    """Return the results of outcomes that this machine gave."""
    return Results(
        processors=os.cpu_count(),
        python=platform.python_version(),
        outcomes=outcomes,
    )


def read_results(path=LATEST):
    """Return the results of a file, empty ones if there is none."""
    if not path.exists():
        return results_here([])
    return msgspec.json.decode(path.read_bytes(), type=Results)


def write_results(results, path):
    """Write results so that one outcome takes a few lines."""
    path.parent.mkdir(parents=True, exist_ok=True)
    text = msgspec.json.format(msgspec.json.encode(results), indent=1)
    path.write_bytes(text + b"\n")


def merge(old, new):
    """Return results in which new outcomes replace whole experiments."""
    renewed = set(new.experiments)
    kept = [o for o in old.outcomes if o.experiment not in renewed]
    outcomes = sorted([*kept, *new.outcomes], key=lambda o: o.experiment)
    return results_here(outcomes)


def keep(new, latest=LATEST, previous=PREVIOUS):
    """Take new outcomes into the latest results, replaced ones aside."""
    old = read_results(latest)
    renewed = set(new.experiments)
    replaced = [o for o in old.outcomes if o.experiment in renewed]
    if replaced:
        before = merge(read_results(previous), results_here(replaced))
        write_results(before, previous)
    write_results(merge(old, new), latest)
