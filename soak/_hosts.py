"""The host processes under test."""

import contextlib
import os
import signal
import subprocess
import sys
import time

import msgspec
import yaml

from apricotseam.node import NodeSettings
from soak._records import HostKill

# Setting `stop_seconds` of the hosts: their limit for a graceful stop.
GRACEFUL_STOP_SECONDS = 4.0
# Longest wait for the exit of a killed process.
KILL_TIMEOUT_SECONDS = 5.0


class HostProcess:
    """One host in a process of its own.

    Parameters
    ----------
    number : int
        Number of the host in the run.
    store_address : str
        ``ip:port`` at which the host reaches the store.
    folder : pathlib.Path
        Folder for its settings and its log.
    records : RunRecords
        Records to which kills are added.
    allocator : AddressAllocator
        Provides the addresses on which it listens.
    sections : dict, optional
        Further sections of its settings file.
    """

    def __init__(
        self, number, store_address, folder, records, allocator, sections=None
    ):
        self._records = records
        self._sections = sections or {}
        self.number = number
        self.is_expected_up = False
        self._process = None
        self._folder = folder
        self._log = None
        self.settings = NodeSettings(
            host=f"host-{number}",
            zone="a",
            callers_address=allocator.allocate(),
            readiness_address=allocator.allocate(),
            directory_address=allocator.allocate(),
            peers_address=allocator.allocate(),
            relay_address=allocator.allocate(),
            store_address=store_address,
        )

    @property
    def process_id(self):
        """Identifier of the process that was started last."""
        return self._process.pid

    @property
    def _settings_path(self):
        return self._folder / f"host-{self.number}.yaml"

    def start(self):
        """Start the process, if it is not running."""
        if self._process is not None and self._process.poll() is None:
            return
        data = msgspec.to_builtins(self.settings)
        data["bounds"]["stop_seconds"] = GRACEFUL_STOP_SECONDS
        data.update(self._sections)
        self._settings_path.write_text(yaml.safe_dump(data))
        self._log = (self._folder / f"host-{self.number}.log").open("ab")
        self._process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "apricotseam.start",
                str(self._settings_path),
            ],
            stdout=self._log,
            stderr=self._log,
            env={**os.environ, "PYTHONUNBUFFERED": "1"},
        )
        self.is_expected_up = True

    def send_signal(self, number):
        """Send a signal to the process, if it exists."""
        with contextlib.suppress(ProcessLookupError):
            self._process.send_signal(number)

    def kill(self):
        """Kill the process and wait for its exit.

        The kill is recorded if the process was still running.
        """
        self.is_expected_up = False
        if self._process is None:
            return
        if self._process.poll() is None:
            at = time.monotonic()
            self._records.kills.append(HostKill(self.number, at))
        self.send_signal(signal.SIGKILL)
        self._process.wait(KILL_TIMEOUT_SECONDS)
        self._log.close()

    def unexpected_exit_code(self):
        """Return the exit code of a process that should still be running.

        It is None if the process is running or was stopped by the soak.
        """
        return self._process.poll() if self.is_expected_up else None
