"""Memory and processor time of importing the program."""

from measure._figure import Figure
from measure._fresh import run_in_new_interpreter

MAX_RESIDENT_MEGABYTES = 64.0

_CODE = """
import json
import os
import sys
import time
before = time.process_time()
__import__(sys.argv[1])
seconds = time.process_time() - before
from measure._usage import resident_bytes
print(json.dumps([resident_bytes(os.getpid()) / 1e6, seconds]))
"""
_MODULES = {"node": "apricotseam.host", "interpreter": "sys"}


def run(parameters, variant, seed):
    """Import the host package in a fresh interpreter and measure it.

    The variant ``interpreter`` imports only `sys`, which gives the cost of
    the interpreter itself.
    """
    megabytes, seconds = run_in_new_interpreter(_CODE, _MODULES[variant])
    return [
        Figure(
            name="resident after imports",
            value=megabytes,
            unit="MB",
            bound=MAX_RESIDENT_MEGABYTES,
        ),
        Figure(name="processor time of imports", value=seconds, unit="s"),
    ]
