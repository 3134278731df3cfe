"""Runs experiments, each run in a child process of its own."""

import os
import pathlib
import signal
import subprocess
import sys
import time

import msgspec

from measure._figure import Figure
from measure._results import Outcome
from measure._results import results_here

ROOT = pathlib.Path(__file__).parent.parent
RUN_TIMEOUT_SECONDS = 180.0
LONG_RUN_TIMEOUT_SECONDS = 1800.0


def code_revision():
    """Return the revision of the code, marked if it was changed since."""
    revision = _git("rev-parse", "--short=12", "HEAD")
    changed = _git(
        "status", "--porcelain", "--", "apricotseam", "measure/*.py"
    )
    return revision + ("+changes" if changed else "")


def run_all(runs, say=print):
    """Run everything in the given order and return the `Results`.

    An interrupt ends the run early; what was done until then is returned.
    """
    revision = code_revision()
    outcomes = []
    for number, run in enumerate(runs, 1):
        try:
            outcome = run_one(run, revision)
        except KeyboardInterrupt:
            say("interrupted")
            break
        outcomes.append(outcome)
        state = outcome.error or f"{len(outcome.figures)} figures"
        say(
            f"[{number}/{len(runs)}] {run.experiment.name} {run.variant}"
            f" seed {run.seed}: {state} in {outcome.seconds:.1f} s"
        )
    return results_here(outcomes)


def run_one(run, revision):
    """Run one variant with one seed in a child and return its `Outcome`."""
    experiment = run.experiment
    started = time.time()
    before = time.monotonic()
    figures, error = _run_child(run)
    return Outcome(
        experiment=experiment.name,
        kind=experiment.kind,
        variant=run.variant,
        seed=run.seed,
        parameters=experiment.parameters,
        revision=revision,
        started=round(started, 3),
        seconds=round(time.monotonic() - before, 3),
        figures=figures,
        error=error,
    )


def _run_child(run):
    experiment = run.experiment
    body = msgspec.json.encode(
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
        output, log = child.communicate(body, timeout)
    except subprocess.TimeoutExpired:
        return [], f"took longer than {timeout:.0f} s"
    finally:
        _end_session(child)
    if child.returncode != 0:
        lines = log.decode(errors="replace").strip().splitlines()
        return [], lines[-1] if lines else f"exit code {child.returncode}"
    last = output.strip().splitlines()[-1]
    return msgspec.json.decode(last, type=list[Figure]), None


def _end_session(child):
    """End the child and what it started; its session holds nothing else."""
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
