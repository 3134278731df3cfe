"""Sequence of checks of the demonstration, and its output."""

import pathlib
import sys

from apricotseam.demo import _checks
from apricotseam.demo._system import LocalSystem
from apricotseam.errors import ApricotseamError

FILES = ("fundacion-libro-andino.yaml", "consorzio-richiamata-padana.yaml")
ZONES = ("quito-a", "quito-b", "ibarra-c") * 2
CHECKS = (
    _checks.apply_files,
    _checks.compare_answers,
    _checks.kill_stage,
    _checks.kill_host,
    _checks.send_booking_copies,
    _checks.interrupt_key_value_service,
    _checks.replace_hosts,
)


def run_demo(examples, checks=CHECKS, progress=sys.stderr):
    """Run a system on embedded stand-ins and check its guarantees.

    Parameters
    ----------
    examples : str
        Path of the folder with the example files.
    checks : sequence of callable
        Functions that take the `LocalSystem` and return a `CheckResult`.
    progress : file object
        Text stream to which the current step is printed.

    Returns
    -------
    list of CheckResult
    """
    folder = pathlib.Path(examples)
    texts = [(folder / name).read_text() for name in FILES]
    print("starting stand-ins and hosts", file=progress, flush=True)
    system = LocalSystem(texts, ZONES).start()
    try:
        results = []
        for check in checks:
            summary = check.__doc__.splitlines()[0]
            print(f"  {summary}", file=progress, flush=True)
            results.append(_run_check(check, system))
        return results
    finally:
        print("stopping", file=progress, flush=True)
        system.stop()


def _run_check(check, system):
    try:
        return check(system)
    except ApricotseamError as error:
        name = check.__doc__.splitlines()[0]
        return _checks.CheckResult(name, str(error), False)


def summarize(results):
    """Return a text that lists results of checks.

    Examples
    --------
    >>> from apricotseam.demo._checks import CheckResult
    >>> print(summarize([CheckResult("answers are complete", "4 of 4", True)]))
    kept    answers are complete
            4 of 4
    """
    lines = []
    for result in results:
        verdict = "kept" if result.is_kept else "BROKEN"
        lines.append(f"{verdict:<8}{result.name}")
        lines.append(f"        {result.observed}")
    return "\n".join(lines)
