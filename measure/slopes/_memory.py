"""Growth of resident memory by size, measured in fresh interpreters."""

import functools
import gc
import os
import threading

from apricotseam.config import load_scope_file
from measure._fresh import run_in_new_interpreter
from measure._usage import peak_resident_bytes
from measure._usage import resident_bytes
from measure.slopes._admission import admission_with_customers
from measure.slopes._execution import records_of_answered_runs
from measure.slopes import _fixtures
from measure.slopes._slope import Slope

_CODE = """
import json
from measure.slopes import _memory
import sys
print(json.dumps(_memory.measure_growth(sys.argv[1], int(sys.argv[2]))))
"""


def measure_growth(name, size):
    """Build state of a size in this process; return the memory growth.

    The input is prepared before the measurement starts, so that it does not
    count. The builder is also called once before, with size 1, so that
    one-off costs do not count.

    Parameters
    ----------
    name : str
        Key of `_BUILDERS`.
    size : int
        Size of the state.

    Returns
    -------
    list of float
        Growth after the state was built and growth at the peak, in bytes.
    """
    build = _BUILDERS[name]
    argument = _PREPARATIONS.get(name, _identity)(size)
    build(_PREPARATIONS.get(name, _identity)(1))
    gc.collect()
    before = resident_bytes(os.getpid())
    state = build(argument)
    gc.collect()
    after = resident_bytes(os.getpid())
    peak = peak_resident_bytes(os.getpid())
    del state
    return [after - before, peak - before]


def _waiting_threads(size):
    """Return a number of started threads that wait forever."""
    never_set = threading.Event()
    threads = [
        threading.Thread(target=never_set.wait, daemon=True)
        for _ in range(size)
    ]
    for thread in threads:
        thread.start()
    return threads


def _identity(size):
    return size


# Turn a size into the argument of the builder; by default it is the size.
_PREPARATIONS = {
    "configuration": _fixtures.stored_scope,
    "checked": lambda size: _fixtures.scope_text(customers=size),
}
_BUILDERS = {
    "threads": _waiting_threads,
    "admission": admission_with_customers,
    "configuration": _fixtures.configuration_from_data,
    "checked": load_scope_file,
    "targets": _fixtures.target_table,
    "records": records_of_answered_runs,
    "listed": _fixtures.listed_hosts,
    "members": _fixtures.members,
}


def _growth_in_child(name, index, size):
    """Return one result of `measure_growth`, run in a fresh interpreter."""
    return run_in_new_interpreter(_CODE, name, size)[index]


def _memory_slope(name, per, builder, index=0):
    """Return a slope of one result of `measure_growth`, by its index."""
    measure = functools.partial(_growth_in_child, builder, index)
    return Slope(name=name, unit="B", per=per, measure=measure)


MEMORY_SLOPES = [
    _memory_slope("memory of a thread", "thread", "threads"),
    _memory_slope("memory of a customer", "customer", "configuration"),
    _memory_slope(
        "peak memory of checking a customer", "customer", "checked", 1
    ),
    _memory_slope(
        "memory of a customer in admission", "customer", "admission"
    ),
    _memory_slope("memory of a target", "target", "targets"),
    _memory_slope("memory of a listed host", "host", "listed"),
    _memory_slope("memory of a ticket's record", "record", "records"),
    _memory_slope("memory of a member", "host", "members"),
]
