"""Order and output of the demonstration."""

import pathlib
import sys

from apricotseam.demo import _checks
from apricotseam.demo._system import LocalSystem
from apricotseam.errors import ApricotseamError

FILES = ("fundacion-libro-andino.yaml", "consorzio-richiamata-padana.yaml")
ZONES = ("quito-a", "quito-b", "ibarra-c") * 2
CHECKS = (
    _checks.apply_files,
    _checks.answer_customers,
    _checks.kill_stage,
    _checks.kill_host,
    _checks.repeat_booking,
    _checks.lose_service,
    _checks.roll_hosts,
)


def run_demo(examples, checks=CHECKS, progress=sys.stderr):
    """Run the main job on embedded stand-ins and check its promises.

    Parameters
    ----------
    examples : str
        Folder with both teams' files.
    checks : sequence of callable
        Each takes the `LocalSystem` and returns a `Promise`.
    progress : file
        Where the current step is printed.

    Returns
    -------
    list of Promise
    """
    folder = pathlib.Path(examples)
    texts = [(folder / name).read_text() for name in FILES]
    print("starting stand-ins and hosts", file=progress, flush=True)
    system = LocalSystem(texts, ZONES).start()
    try:
        promises = []
        for check in checks:
            summary = check.__doc__.splitlines()[0]
            print(f"  {summary}", file=progress, flush=True)
            promises.append(_run_check(check, system))
        return promises
    finally:
        print("stopping", file=progress, flush=True)
        system.stop()


def _run_check(check, system):
    try:
        return check(system)
    except ApricotseamError as error:
        name = check.__doc__.splitlines()[0]
        return _checks.Promise(name, str(error), False)


def summarize(promises):
    """Return a readable summary of promises.

    Examples
    --------
    >>> from apricotseam.demo._checks import Promise
    >>> print(summarize([Promise("answers are whole", "4 of 4", True)]))
    kept    answers are whole
            4 of 4
    """
    lines = []
    for promise in promises:
        word = "kept" if promise.is_kept else "BROKEN"
        lines.append(f"{word:<8}{promise.name}")
        lines.append(f"        {promise.seen}")
    return "\n".join(lines)
