"""Clusters of stand-in engines and entry hosts on loopback."""

import os
import signal
import subprocess
import sys
import tempfile
import time

import msgspec
import yaml

from apricotseam.callers import hash_key
from apricotseam.client import HostClient
from apricotseam.config import AuditEntry
from apricotseam.config import Bounds
from apricotseam.demo import LocalSystem
from apricotseam.demo import OPERATOR_KEY
from apricotseam.errors import ApricotseamError
from apricotseam.external import HttpModelEngine
from apricotseam.host import EntryHost
from apricotseam.standins import EngineOptions
from apricotseam.web import free_address
from apricotseam.web import HttpClient

CUSTOMER_KEY = "key-of-the-measured-customer"
SCOPE = "measured"
READY_TIMEOUT_SECONDS = 30.0


class EngineProcess:
    """One stand-in engine that runs in its own process.

    Parameters
    ----------
    options : EngineOptions
        Options of the engine.
    zone : str
        Availability zone of the engine.
    """

    def __init__(self, options, zone):
        self.options = options
        self.zone = zone
        self.address = free_address()
        self._process = None

    def start(self):
        """Start the process and return this engine."""
        options = msgspec.json.encode(self.options).decode()
        arguments = ["standin", "engine", "--address", self.address]
        self._process = subprocess.Popen(
            [
                *(sys.executable, "-m", "apricotseam"),
                *(*arguments, "--options", options),
            ],
            stdout=subprocess.DEVNULL,
        )
        return self

    def kill(self):
        """Kill the process with SIGKILL and wait for its end.

        This simulates a power failure: the process has no time to clean up.
        """
        self._process.kill()
        self._process.wait(10)

    def pause(self):
        """Suspend the process with SIGSTOP.

        The kernel still accepts connections to its address.
        """
        self._process.send_signal(signal.SIGSTOP)

    def resume(self):
        """Resume a suspended process."""
        self._process.send_signal(signal.SIGCONT)

    def processor_seconds(self):
        """Return the processor time of the process in seconds."""
        return processor_seconds(self._process.pid)


class HostProcess:
    """One entry host that runs in its own process.

    Parameters
    ----------
    settings : Settings
        Settings of the host.
    prelude : str
        Python statements to run in the process before the host starts.
    """

    def __init__(self, settings, prelude=""):
        self.settings = settings
        self._directory = tempfile.TemporaryDirectory()
        path = os.path.join(self._directory.name, "settings.yaml")
        with open(path, "w") as file:
            yaml.safe_dump(msgspec.to_builtins(settings), file)
        program = (
            f"{prelude}\nfrom apricotseam.cli import main\n"
            f"main(['serve', {path!r}])"
        )
        command = [sys.executable, "-c", program]
        self._process = subprocess.Popen(
            command, stderr=subprocess.DEVNULL, stdout=subprocess.DEVNULL
        )

    def kill(self):
        """Kill the process with SIGKILL and wait for its end.

        This simulates a power failure: the process has no time to clean up.
        """
        if self._process.poll() is None:
            self._process.kill()
        self._process.wait(10)
        self._directory.cleanup()

    def processor_seconds(self):
        """Return the processor time of the process in seconds."""
        return processor_seconds(self._process.pid)


class Cluster:
    """Engine processes and entry hosts that route to them, on loopback.

    As a context manager, it starts everything and waits until the hosts
    can serve requests.

    Parameters
    ----------
    engines : list of EngineProcess
        Engines, all of the same model.
    layers : int
        Number of layers of the model.
    accelerators, links : list of dict
        Accelerators and links, as in a scope file.
    zones : list of str
        Availability zone of each entry host.
    in_process : bool
        Whether the hosts run in this process instead of their own.
    bounds : Bounds, optional
        Bounds in the settings of each host.
    choice : Choice, optional
        Policy by which hosts choose targets.
    prelude : str
        Python statements that host processes run before they start.
    """

    def __init__(
        self,
        engines,
        layers,
        accelerators=(),
        links=(),
        zones=("a",),
        in_process=True,
        bounds=None,
        choice=None,
        prelude="",
    ):
        self.engines = engines
        self.hosts = []
        self._layers = layers
        self._accelerators = list(accelerators)
        self._links = list(links)
        self._zones = zones
        self._in_process = in_process
        self._choice = choice
        self._prelude = prelude
        self._client = HttpClient()
        bounds = bounds or Bounds(
            caller_threads=128, address_valid_seconds=1.0
        )
        self._local_system = LocalSystem([], [], bounds=bounds)

    def __enter__(self):
        """Start everything and wait until requests can be served."""
        self._local_system.start()
        for engine in self.engines:
            engine.start()
        for number, zone in enumerate(self._zones):
            self.add_host(f"entry-{number}", zone)
        self._wait(lambda: self._apply_scope() is not None)
        self._wait(self.is_ready)
        return self

    def __exit__(self, *arguments):
        """Stop all hosts and engines."""
        for host in self.hosts:
            host.stop() if self._in_process else host.kill()
        for engine in self.engines:
            engine.kill()
        self._local_system.stop()

    @property
    def addresses(self):
        """Addresses of the callers' listeners of the hosts."""
        return [host.settings.callers_address for host in self.hosts]

    def add_host(self, name, zone):
        """Start another entry host.

        Parameters
        ----------
        name : str
            Name of the host.
        zone : str
            Availability zone of the host.

        Returns
        -------
        EntryHost or HostProcess
            The host, which runs in this process or in its own.
        """
        settings = self._local_system.settings(name, zone)
        if self._choice is not None:
            settings = msgspec.structs.replace(settings, choice=self._choice)
        if self._in_process:
            host = EntryHost(settings)
            host.start()
        else:
            host = HostProcess(settings, self._prelude)
        self.hosts.append(host)
        return host

    def is_ready(self):
        """Return whether every host can use every engine.

        It can if it knows the version of the engine and does not list the
        engine as suspect.
        """
        return all(map(self._knows_engines, self.hosts))

    def wait_ready(self):
        """Wait until every host can use every engine; see `is_ready`."""
        self._wait(self.is_ready)

    def running_streams(self, engine):
        """Return the number of streams that run on an engine."""
        report = HttpModelEngine(self._client).report(
            engine.address, time.monotonic() + 2
        )
        return report.running_streams

    def _knows_engines(self, host):
        try:
            status = self._operator_client(host).call(
                "GET", "/v1/admin/status", dict
            )
        except ApricotseamError:
            return False
        usable = {
            row["address"]
            for row in status["targets"]
            if row.get("version") and not row.get("suspect")
        }
        return usable >= {engine.address for engine in self.engines}

    def _apply_scope(self):
        path = f"/v1/admin/scopes/{SCOPE}"
        text = yaml.safe_dump(self._scope()).encode()
        try:
            return self._operator_client(self.hosts[0]).call(
                "PUT", path, AuditEntry, text
            )
        except ApricotseamError:
            return None

    @staticmethod
    def _operator_client(host):
        return HostClient(host.settings.operators_address, OPERATOR_KEY)

    @staticmethod
    def _wait(condition):
        deadline = time.monotonic() + READY_TIMEOUT_SECONDS
        while not condition():
            if time.monotonic() > deadline:
                raise TimeoutError(
                    "hosts and engines were not ready within"
                    f" {READY_TIMEOUT_SECONDS} s"
                )
            time.sleep(0.1)

    def _scope(self):
        targets = [
            {
                "name": engine.options.name,
                "address": engine.address,
                "availability_zone": engine.zone,
                "accelerator": engine.options.accelerator,
                "layers": {
                    "first": engine.options.first,
                    "last": engine.options.last,
                },
            }
            for engine in self.engines
        ]
        accelerator_names = {
            engine.options.accelerator for engine in self.engines
        }
        accelerators = self._accelerators or [
            {
                "name": name,
                "layer_tokens_per_second": 1e6,
                "memory_layers": self._layers,
            }
            for name in sorted(accelerator_names)
        ]
        return {
            "scope": SCOPE,
            "models": [
                {
                    "name": "m",
                    "layers": self._layers,
                    "versions": ["v1"],
                    "serving": "v1",
                }
            ],
            "accelerators": accelerators,
            "links": self._links,
            "groups": [
                {
                    "name": "g",
                    "kind": "engine",
                    "model": "m",
                    "targets": targets,
                }
            ],
            "priorities": [
                {
                    "name": "p",
                    "rank": 0,
                    "first_token_milliseconds": 60000.0,
                }
            ],
            "pipelines": [
                {
                    "name": "q",
                    "model": "m",
                    "group": "g",
                    "default_priority": "p",
                    "max_tokens": 4096,
                }
            ],
            "customers": [
                {
                    "name": "c",
                    "key_hashes": [hash_key(CUSTOMER_KEY)],
                    "requests_per_second": 1e6,
                    "tokens_per_second": 1e9,
                    "max_streams": 100000,
                }
            ],
        }


def replicated_engines(ranges, layers, copies, step_seconds, zone="a"):
    """Return engines that hold each range of layers equally often.

    Parameters
    ----------
    ranges : sequence of (int, int)
        First and last layer of each range.
    layers : int
        Number of layers of the model.
    copies : int
        Number of engines for each range.
    step_seconds : float
        Time that an engine takes for one batch of steps.
    zone : str
        Availability zone of all engines.
    """
    engines = []
    for first, last in ranges:
        for copy in range(copies):
            options = EngineOptions(
                name=f"e{first}-{copy}",
                model="m",
                version="v1",
                layers=layers,
                first=first,
                last=last,
                step_seconds=step_seconds,
            )
            engines.append(EngineProcess(options, zone))
    return engines


def processor_seconds(pid):
    """Return the user and system time of a process in seconds."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
