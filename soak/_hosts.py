"""The processes under test."""

import contextlib
import os
import signal
import subprocess
import sys
import time

import msgspec
import yaml

from apricotseam.node import NodeSettings
from soak._records import Kill

STOP_SECONDS = 4.0
KILL_WAIT_SECONDS = 5.0


class HostProcess:
    """One host as a process of its own.

    Parameters
    ----------
    number : int
        Number of the host in the run.
    store_address : str
        Where it finds the store.
    folder : pathlib.Path
        Where its settings and logs are written.
    records : Records
        Where kills are noted.
    addresses : Addresses
        Where it may listen.
    """

    def __init__(self, number, store_address, folder, records, addresses):
        self._records = records
        self.number = number
        self.is_wanted = False
        self._process = None
        self._folder = folder
        self._log = None
        self.settings = NodeSettings(
            host=f"host-{number}",
            zone="a",
            callers_address=addresses.take(),
            readiness_address=addresses.take(),
            directory_address=addresses.take(),
            peers_address=addresses.take(),
            store_address=store_address,
        )

    @property
    def _path(self):
        return self._folder / f"host-{self.number}.yaml"

    def start(self):
        """Start the process, if it is not running."""
        if self._process is not None and self._process.poll() is None:
            return
        data = msgspec.to_builtins(self.settings)
        data["bounds"]["stop_seconds"] = STOP_SECONDS
        self._path.write_text(yaml.safe_dump(data))
        self._log = (self._folder / f"host-{self.number}.log").open("ab")
        self._process = subprocess.Popen(
            [sys.executable, "-m", "apricotseam.start", str(self._path)],
            stdout=self._log,
            stderr=self._log,
            env={**os.environ, "PYTHONUNBUFFERED": "1"},
        )
        self.is_wanted = True

    def signal(self, number):
        """Send a signal to the process, if it is there."""
        with contextlib.suppress(ProcessLookupError):
            self._process.send_signal(number)

    def kill(self):
        """End the process at once."""
        self.is_wanted = False
        if self._process is None:
            return
        if self._process.poll() is None:
            at = time.monotonic()
            self._records.kills.append(Kill(self.number, at))
        self.signal(signal.SIGKILL)
        self._process.wait(KILL_WAIT_SECONDS)
        self._log.close()

    def own_end(self):
        """Return the exit code of a process that ended by itself."""
        return self._process.poll() if self.is_wanted else None
