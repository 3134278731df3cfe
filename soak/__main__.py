"""Command line: ``python -m soak``."""

import collections
import concurrent.futures
import pathlib
import random
import sys
import tempfile

import defopt

from soak._faults import draw_faults
from soak._run import run_seed

SEED_LIMIT = 1 << 32
MAX_SHOWN = 10


def run(*seeds: int, fresh: int = 0, jobs: int = 1, folder: str = ""):
    """Run seeds; the exit code is 1 if one fails.

    Parameters
    ----------
    seeds : int
        Seeds to run.
    fresh : int
        Number of new seeds to run besides.
    jobs : int
        How many run at a time.
    folder : str
        Where logs are kept; a new one without it.
    """
    drawn = [random.SystemRandom().randrange(SEED_LIMIT) for _ in range(fresh)]
    root = pathlib.Path(folder or tempfile.mkdtemp(prefix="soak-"))
    chosen = [*seeds, *drawn]
    with concurrent.futures.ProcessPoolExecutor(jobs) as pool:
        texts = list(pool.map(play, chosen, [root / str(s) for s in chosen]))
    failed = [seed for seed, text in zip(chosen, texts) if "broken:" in text]
    for text in texts:
        print(text)
    print(f"{len(chosen)} seeds, {len(failed)} failed: {failed}; {root}")
    return int(bool(failed))


def play(seed, folder):
    """Run a seed; return what to print of it."""
    folder.mkdir(parents=True, exist_ok=True)
    records, violations = run_seed(seed, folder)
    counts = collections.Counter(
        f"{a.status} {a.ending.value}" for a in records.attempts
    )
    lines = [f"seed {seed}: {dict(counts)}"]
    if violations:
        faults = draw_faults(random.Random(seed))
        lines.append(f"  {len(violations)} promises broken:")
        lines.extend(f"    {v}" for v in violations[:MAX_SHOWN])
        lines.extend(f"    {fault}" for fault in faults)
    return "\n".join(lines)


if __name__ == "__main__":
    sys.exit(defopt.run(run, short={}))
