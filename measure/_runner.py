"""Runs experiments, each run in its own child process."""

import os
import pathlib
import signal
import subprocess
import sys
import time

import msgspec

from measure._figure import Figure
from measure._results import local_results
from measure._results import Outcome

ROOT = pathlib.Path(__file__).parent.parent
RUN_TIMEOUT_SECONDS = 180.0
LONG_RUN_TIMEOUT_SECONDS = 1800.0


def code_revision():
    """Return the Git revision of the code.

    ``+changes`` is appended if the working tree has uncommitted changes.
    """
    revision = _git("rev-parse", "--short=12", "HEAD")
    changed = _git(
        "status", "--porcelain", "--", "apricotseam", "measure/*.py"
    )
    return revision + ("+changes" if changed else "")


def run_all(runs, print_line=print):
    """Run all runs in the given order and return their `Results`.

    After an interrupt from the keyboard, the results so far are returned.

    Parameters
    ----------
    runs : list of Run
        Runs in the order to execute them.
    print_line : callable
        Called with each line of text about the progress.
    """
    revision = code_revision()
    outcomes = []
    for number, run in enumerate(runs, 1):
        try:
            outcome = run_one(run, revision)
        except KeyboardInterrupt:
            print_line("interrupted")
            break
        outcomes.append(outcome)
        result = outcome.error or f"{len(outcome.figures)} figures"
        print_line(
            f"[{number}/{len(runs)}] {run.experiment.name} {run.variant}"
            f" seed {run.seed}: {result} in {outcome.seconds:.1f} s"
        )
    return local_results(outcomes)


def run_one(run, revision):
    """Run one variant with one seed in a child; return its `Outcome`."""
    experiment = run.experiment
    started = time.time()
    started_monotonic = time.monotonic()
    figures, error = _run_child(run)
    return Outcome(
        experiment=experiment.name,
        kind=experiment.kind,
        variant=run.variant,
        seed=run.seed,
        parameters=experiment.parameters,
        revision=revision,
        started=round(started, 3),
        seconds=round(time.monotonic() - started_monotonic, 3),
        figures=figures,
        error=error,
    )


def _run_child(run):
    experiment = run.experiment
    request = msgspec.json.encode(
        [experiment.kind, experiment.parameters, run.variant, run.seed]
    )
    is_long = experiment.long
    timeout = LONG_RUN_TIMEOUT_SECONDS if is_long else RUN_TIMEOUT_SECONDS
    child = subprocess.Popen(
        [sys.executable, "-m", "measure._child"],
        cwd=ROOT,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        start_new_session=True,
    )
    try:
        output, log = child.communicate(request, timeout)
    except subprocess.TimeoutExpired:
        return [], f"run did not end within {timeout:.0f} s"
    finally:
        _end_session(child)
    if child.returncode != 0:
        lines = log.decode(errors="replace").strip().splitlines()
        return [], lines[-1] if lines else f"exit code {child.returncode}"
    last = output.strip().splitlines()[-1]
    return msgspec.json.decode(last, type=list[Figure]), None


def _end_session(child):
    """Kill the child and all processes that it started.

    The child leads its own session and so its own process group, which
    contains only these processes.
    """
    try:
        os.killpg(child.pid, signal.SIGKILL)
    except ProcessLookupError:
        pass
    child.communicate()


def _git(*arguments):
    result = subprocess.run(
        ["git", *arguments], cwd=ROOT, capture_output=True, text=True
    )
    return result.stdout.strip() or ("" if arguments[0] == "status" else "?")
