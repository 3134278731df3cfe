"""Resident memory that grows with a size, in fresh interpreters."""

import functools
import gc
import os
import threading

from apricotseam.config import load_scope_file
from measure._fresh import call_fresh
from measure._usage import peak_resident_bytes
from measure._usage import resident_bytes
from measure.slopes._admission import admission_of_customers
from measure.slopes._execution import records_of_runs
from measure.slopes import _objects
from measure.slopes._slope import Slope

_CODE = """
import json
from measure.slopes import _memory
import sys
print(json.dumps(_memory.grow(sys.argv[1], int(sys.argv[2]))))
"""


def grow(name, size):
    """Make objects of a size here; return what memory grew by.

    Returns
    -------
    list of float
        Growth that stays and growth at the peak, in bytes.
    """
    make = _MAKERS[name]
    given = _INPUTS.get(name, _same)(size)
    make(_INPUTS.get(name, _same)(1))
    gc.collect()
    before = resident_bytes(os.getpid())
    kept = make(given)
    gc.collect()
    after = resident_bytes(os.getpid())
    peak = peak_resident_bytes(os.getpid())
    del kept
    return [after - before, peak - before]


def _threads(size):
    stopping = threading.Event()
    threads = [
        threading.Thread(target=stopping.wait, daemon=True)
        for _ in range(size)
    ]
    for thread in threads:
        thread.start()
    return threads


def _same(size):
    return size


_INPUTS = {
    "configuration": _objects.kept_data,
    "checked": lambda size: _objects.scope_text(customers=size),
}
_MAKERS = {
    "threads": _threads,
    "admission": admission_of_customers,
    "configuration": _objects.configuration_of_data,
    "checked": load_scope_file,
    "targets": _objects.table_of_targets,
    "records": records_of_runs,
    "listed": _objects.listed_hosts,
    "members": _objects.members,
}


def _measure(name, index, size):
    return call_fresh(_CODE, name, size)[index]


def _slope(name, per, maker, index=0):
    measure = functools.partial(_measure, maker, index)
    return Slope(name=name, unit="B", per=per, measure=measure)


MEMORY_SLOPES = [
    _slope("memory of a thread", "thread", "threads"),
    _slope("memory of a customer", "customer", "configuration"),
    _slope("peak memory of checking a customer", "customer", "checked", 1),
    _slope("memory of a customer in admission", "customer", "admission"),
    _slope("memory of a target", "target", "targets"),
    _slope("memory of a listed host", "host", "listed"),
    _slope("memory of a ticket's record", "record", "records"),
    _slope("memory of a member", "host", "members"),
]
