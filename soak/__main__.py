"""Command line of the soak: ``python -m soak``."""

import collections
import concurrent.futures
import pathlib
import random
import sys
import tempfile

import defopt

from soak._faults import draw_faults
from soak._run import run_seed

# Exclusive upper bound of the random seeds.
SEED_LIMIT = 1 << 32
# Violations that the report of a seed lists; further ones are only counted.
MAX_SHOWN_VIOLATIONS = 10


def run(*seeds: int, fresh: int = 0, jobs: int = 1, folder: str = ""):
    """Run the soak with each seed; exit with 1 if an invariant is violated.

    Parameters
    ----------
    seeds : int
        Seeds to run.
    fresh : int
        Number of random seeds to run in addition.
    jobs : int
        Number of seeds to run concurrently.
    folder : str
        Folder for the logs of all seeds; by default a new temporary one.
    """
    drawn = [random.SystemRandom().randrange(SEED_LIMIT) for _ in range(fresh)]
    root = pathlib.Path(folder or tempfile.mkdtemp(prefix="soak-"))
    all_seeds = [*seeds, *drawn]
    with concurrent.futures.ProcessPoolExecutor(jobs) as pool:
        reports = list(
            pool.map(
                run_and_report, all_seeds, [root / str(s) for s in all_seeds]
            )
        )
    failed = [
        seed for seed, report in zip(all_seeds, reports) if "broken:" in report
    ]
    for report in reports:
        print(report)
    print(f"{len(all_seeds)} seeds, {len(failed)} failed: {failed}; {root}")
    return int(bool(failed))


def run_and_report(seed, folder):
    """Run one seed and return a report of it as text.

    The report counts the attempts by status and outcome, and says for how
    long the soak's own process stood still: callers, targets and store stood
    still with it. If invariants are violated, it also lists the violations
    and the injected faults.
    """
    folder.mkdir(parents=True, exist_ok=True)
    records, violations = run_seed(seed, folder)
    counts = collections.Counter(
        f"{a.status} {a.outcome.value}" for a in records.attempts
    )
    stall = f"own longest stall {records.longest_stall_seconds:.2f} s"
    lines = [f"seed {seed}: {dict(counts)}, {stall}"]
    if violations:
        faults = draw_faults(random.Random(seed))
        lines.append(f"  {len(violations)} invariants broken:")
        lines.extend(f"    {v}" for v in violations[:MAX_SHOWN_VIOLATIONS])
        lines.extend(f"    {fault}" for fault in faults)
    return "\n".join(lines)


if __name__ == "__main__":
    sys.exit(defopt.run(run, short={}))
