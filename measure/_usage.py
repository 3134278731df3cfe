"""Processor time and memory of processes, read from ``/proc``."""

import os
import pathlib

_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def processor_seconds(pid):
    """Return the user and system time of a process in seconds."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_SECOND


def resident_bytes(pid):
    """Return the resident memory of a process in bytes."""
    return _status_bytes(pid, "VmRSS")


def peak_resident_bytes(pid):
    """Return the peak resident memory of a process in bytes."""
    return _status_bytes(pid, "VmHWM")


def _status_bytes(pid, field):
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(field + ":"):
            return int(line.split()[1]) * 1024
    raise KeyError(field)
