"""Runs one function in a fresh interpreter."""

import subprocess
import sys

import msgspec

FRESH_TIMEOUT_SECONDS = 120.0


def call_fresh(code, *arguments):
    """Run code in a fresh interpreter and return what it prints as JSON.

    Memory is measured this way, so that nothing of the caller counts.

    Parameters
    ----------
    code : str
        Python code; its arguments are in `sys.argv`.
    *arguments : str
        The arguments.

    Raises
    ------
    RuntimeError
        If the code failed.
    """
    result = subprocess.run(
        [sys.executable, "-c", code, *map(str, arguments)],
        capture_output=True,
        timeout=FRESH_TIMEOUT_SECONDS,
    )
    if result.returncode != 0:
        raise RuntimeError(result.stderr.decode(errors="replace"))
    return msgspec.json.decode(result.stdout)
