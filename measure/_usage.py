"""Processor time and memory of processes, read from /proc."""

import os
import pathlib

_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def processor_seconds(pid):
    """Return the processor time that a process and its threads used."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_SECOND


def resident_bytes(pid):
    """Return the resident memory of a process."""
    return _status(pid, "VmRSS")


def peak_resident_bytes(pid):
    """Return the highest resident memory that a process had."""
    return _status(pid, "VmHWM")


def _status(pid, name):
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(name + ":"):
            return int(line.split()[1]) * 1024
    raise KeyError(name)
