"""Runs code in a new interpreter process."""

import subprocess
import sys

import msgspec

FRESH_TIMEOUT_SECONDS = 120.0


def run_in_new_interpreter(code, *arguments):
    """Run code in a new interpreter and return the JSON that it prints.

    This is how memory is measured: the objects of the caller do not count.

    Parameters
    ----------
    code : str
        Python code; it finds its arguments in ``sys.argv[1:]``.
    *arguments : object
        Arguments, passed as text.

    Returns
    -------
    object
        The decoded JSON value.

    Raises
    ------
    RuntimeError
        If the interpreter exits with an error; the message is its
        standard error.
    """
    result = subprocess.run(
        [sys.executable, "-c", code, *map(str, arguments)],
        capture_output=True,
        timeout=FRESH_TIMEOUT_SECONDS,
    )
    if result.returncode != 0:
        raise RuntimeError(result.stderr.decode(errors="replace"))
    return msgspec.json.decode(result.stdout)
