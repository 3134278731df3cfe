"""Command line of the benchmark tool."""

import pathlib
import sys

import defopt

from apricotseam.errors import ApricotseamError
from measure._capacity import Costs
from measure._capacity_page import write_page
from measure._compare import change_lines
from measure._experiment import interleave
from measure._experiment import load_experiments
from measure._experiment import select
from measure._fleet import load_fleet
from measure._results import LATEST_FILE
from measure._results import PREVIOUS_FILE
from measure._results import read_results
from measure._results import store_results
from measure._results import write_results
from measure._runner import ROOT
from measure._runner import run_all
from measure._tables import experiment_section
from measure._tables import failure_lines
from measure._tables import replace_marked

CAPACITY_PAGE = ROOT / "docs" / "CAPACITY.md"
MEASUREMENTS_PAGE = ROOT / "docs" / "MEASUREMENTS.md"


def run(*names, long=False, output="", strict=False):
    """Run experiments and store their results.

    Parameters
    ----------
    names : str
        Experiments to run; by default all that are not long.
    long : bool
        If no names are given, run the long experiments instead.
    output : str
        File for the results; the stored latest results stay unchanged.
    strict : bool
        Exit with code 1 if a bound is not met or a run failed.
    """
    selected = select(load_experiments(), names, long)
    results = run_all(interleave(selected), _print_line)
    if output:
        write_results(results, pathlib.Path(output))
    else:
        store_results(results)
    _print_line(f"{sum(o.seconds for o in results.outcomes):.0f} s in total")
    lines = failure_lines(results, selected)
    for line in lines:
        print("NOT MET:", line)
    return 1 if strict and lines else 0


def list_experiments():
    """List the experiments with their variants and descriptions."""
    for experiment in load_experiments().values():
        length = "long" if experiment.long else "standing"
        variants = ", ".join(experiment.variants)
        print(f"{experiment.name} ({length}; {variants}): {experiment.about}")


def compare(old=str(PREVIOUS_FILE), new=str(LATEST_FILE)):
    """Print the figures that changed by more than the noise of the runs.

    Parameters
    ----------
    old : str
        File with the results before the change.
    new : str
        File with the results after the change.
    """
    old_results = read_results(pathlib.Path(old))
    for line in change_lines(old_results, read_results(pathlib.Path(new))):
        print(line)


def tables(page=str(MEASUREMENTS_PAGE)):
    """Write the latest results into the tables of a page.

    Parameters
    ----------
    page : str
        Path of the page, which has markers around each part to replace.
    """
    results = read_results()
    experiments = load_experiments()
    path = pathlib.Path(page)
    text = path.read_text()
    for name, is_long in (("standing", False), ("long", True)):
        sections = [
            experiment_section(results, experiment)
            for experiment in select(experiments, [], is_long)
            if results.outcomes_of(experiment.name)
        ]
        body = "\n\n".join(sections) or "No results yet."
        text = replace_marked(text, name, body)
    path.write_text(text)


def capacity(page=str(CAPACITY_PAGE)):
    """Calculate the capacity page from the latest results.

    Parameters
    ----------
    page : str
        Path of the page, which has markers around each part to replace.
    """
    costs = Costs(read_results(), load_experiments())
    path = pathlib.Path(page)
    path.write_text(write_page(path.read_text(), load_fleet(), costs))


def report(folder=str(ROOT / "build" / "measure")):
    """Plot the latest results.

    Parameters
    ----------
    folder : str
        Folder for the images.
    """
    from measure._plots import plot_all

    experiments = load_experiments().values()
    for path in plot_all(read_results(), experiments, pathlib.Path(folder)):
        print(path)


def emulate(
    pattern,
    *,
    hosts=6,
    targets=18,
    zones=3,
    seconds=16.0,
    seed=1,
    plays=1,
    load=0.0,
    deployment="tight",
):
    """Play a pattern on emulated engines, beside a baseline.

    The baseline serves in the order of arrival, on random chains. The
    results of all plays are added up.

    Parameters
    ----------
    pattern : str
        Name of the pattern; ``list`` lists them.
    hosts : int
        Number of hosts.
    targets : int
        Number of engines.
    zones : int
        Number of availability zones, over which both are spread.
    seconds : float
        Simulated time during which requests are sent.
    seed : int
        Seed of the first play; each further one adds 1.
    plays : int
        Number of plays.
    load : float
        Usual load as a fraction of the capacity; 0 for the pattern's own.
    deployment : str
        Engines and request classes: ``tight`` or ``ample`` in memory.
    """
    from measure import emulator

    if pattern == "list":
        for found in emulator.PATTERNS.values():
            print(f"{found.name}: {found.about}")
        return
    scenarios = [
        emulator.Scenario(
            hosts=hosts,
            targets=targets,
            zones=zones,
            seconds=seconds,
            seed=seed + number,
            deployment=deployment,
        )
        for number in range(plays)
    ]
    for line in emulator.compare_policies(pattern, scenarios, load):
        _print_line(line)


def _print_line(line):
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
        "emulate": emulate,
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
