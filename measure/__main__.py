"""Command line of the measuring tool."""

import pathlib
import sys

import defopt

from apricotseam.errors import ApricotseamError
from measure._capacity import Costs
from measure._capacity_page import write_page
from measure._compare import moved_lines
from measure._experiment import interleave
from measure._experiment import load_experiments
from measure._experiment import select
from measure._fleet import load_fleet
from measure._results import keep
from measure._results import LATEST
from measure._results import PREVIOUS
from measure._results import read_results
from measure._results import write_results
from measure._runner import ROOT
from measure._runner import run_all
from measure._tables import experiment_section
from measure._tables import replace_marked
from measure._tables import unmet

CAPACITY = ROOT / "docs" / "CAPACITY.md"
MEASUREMENTS = ROOT / "docs" / "MEASUREMENTS.md"


def run(*names, long=False, output="", strict=False):
    """Run experiments and keep their results.

    Parameters
    ----------
    names : str
        Experiments; all standing ones without a name.
    long : bool
        Without names, run the long ones instead.
    output : str
        Write the results there and leave the latest ones as they are.
    strict : bool
        Exit with 1 if a bound is not met or a run failed.
    """
    chosen = select(load_experiments(), names, long)
    results = run_all(interleave(chosen), _say)
    if output:
        write_results(results, pathlib.Path(output))
    else:
        keep(results)
    _say(f"{sum(o.seconds for o in results.outcomes):.0f} s in all")
    lines = unmet(results, chosen)
    for line in lines:
        print("NOT MET:", line)
    return 1 if strict and lines else 0


def list_experiments():
    """List the experiments with their variants and seeds."""
    for experiment in load_experiments().values():
        length = "long" if experiment.long else "standing"
        variants = ", ".join(experiment.variants)
        print(f"{experiment.name} ({length}; {variants}): {experiment.about}")


def compare(old=str(PREVIOUS), new=str(LATEST)):
    """Say which figures moved beyond the noise of repeated runs.

    Parameters
    ----------
    old : str
        Results before.
    new : str
        Results after.
    """
    before = read_results(pathlib.Path(old))
    for line in moved_lines(before, read_results(pathlib.Path(new))):
        print(line)


def tables(page=str(MEASUREMENTS)):
    """Write the tables of a page from the latest results.

    Parameters
    ----------
    page : str
        The page, with markers where the tables go.
    """
    results = read_results()
    experiments = load_experiments()
    path = pathlib.Path(page)
    text = path.read_text()
    for name, is_long in (("standing", False), ("long", True)):
        sections = [
            experiment_section(results, experiment)
            for experiment in select(experiments, [], is_long)
            if results.of(experiment.name)
        ]
        body = "\n\n".join(sections) or "No results yet."
        text = replace_marked(text, name, body)
    path.write_text(text)


def capacity(page=str(CAPACITY)):
    """Work out the capacity page from the latest results.

    Parameters
    ----------
    page : str
        The page, with markers where the parts go.
    """
    costs = Costs(read_results(), load_experiments())
    path = pathlib.Path(page)
    path.write_text(write_page(path.read_text(), load_fleet(), costs))


def report(folder=str(ROOT / "build" / "measure")):
    """Plot the latest results.

    Parameters
    ----------
    folder : str
        Where the images go.
    """
    from measure._plots import plot_all

    experiments = load_experiments().values()
    for path in plot_all(read_results(), experiments, pathlib.Path(folder)):
        print(path)


def _say(line):
    print(line, flush=True)


def main(arguments=None):
    """Run one command and return its exit code."""
    commands = {
        "run": run,
        "list": list_experiments,
        "compare": compare,
        "tables": tables,
        "capacity": capacity,
        "report": report,
    }
    try:
        result = defopt.run(
            commands, argv=arguments, no_negated_flags=True, short={}
        )
    except ApricotseamError as error:
        print(f"measure: {error.code}: {error}", file=sys.stderr)
        return error.exit_code
    return result or 0


if __name__ == "__main__":
    sys.exit(main())
