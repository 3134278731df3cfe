"""System of stand-ins and entry hosts as processes on loopback."""

import contextlib
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time

import msgspec
import yaml

from apricotseam.callers import hash_key
from apricotseam.config import Bounds
from apricotseam.config import Operator
from apricotseam.config import Role
from apricotseam.config import Settings
from apricotseam.errors import ApricotseamError
from apricotseam.standins import EngineOptions
from apricotseam.web import free_address
from apricotseam.web import HttpClient
from measure._scope import dump_scope

ROOT = pathlib.Path(__file__).parent.parent
OPERATOR_KEY = "operator-key-of-the-measuring-tool"
START_TIMEOUT_SECONDS = 60.0
STOP_TIMEOUT_SECONDS = 10.0
POLL_SECONDS = 0.05


class System:
    """Stand-ins and entry hosts of one scope, each in its own process.

    As a context manager, it starts all processes and waits until the hosts
    can serve requests. Processes are addressed by name: ``key-value`` and
    ``host-list`` for the stand-ins of the platform, the names of targets,
    and ``entry-0`` and so on for hosts.

    Parameters
    ----------
    scope : dict
        The scope as plain data. The addresses of its targets are replaced
        by those of the stand-ins.
    hosts : int
        Number of entry hosts.
    step_seconds : float
        Time that a stand-in engine takes for one batch of steps.
    bounds : dict
        Bounds in the settings of the hosts.
    engine : dict
        Other options of the stand-in engines.
    """

    def __init__(
        self, scope, hosts=1, step_seconds=0.002, bounds=None, engine=None
    ):
        self._scope = scope
        self._host_count = hosts
        self._step_seconds = step_seconds
        self._bounds = msgspec.convert(bounds or {}, Bounds)
        self._engine = engine or {}
        self._children = {}
        self._folder = tempfile.TemporaryDirectory()
        self.client = HttpClient()
        self.addresses = {}
        self.settings = {}

    def __enter__(self):
        """Start all processes and wait until all hosts can serve."""
        try:
            self._start_standins()
            for number in range(self._host_count):
                self.start_host(f"entry-{number}")
            self.apply_scope()
            self._wait(self._is_ready, "hosts did not become ready")
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, *_):
        """Kill all processes."""
        self.close()

    @property
    def hosts(self):
        """Names of the entry hosts."""
        return list(self.settings)

    @property
    def scope(self):
        """The scope as plain data, with the addresses of the stand-ins."""
        return self._scope

    def pid(self, name):
        """Return the process ID of a host or stand-in."""
        return self._children[name].pid

    def is_running(self, name):
        """Return whether the process of a host or stand-in is running."""
        return self._children[name].poll() is None

    def start_host(self, name):
        """Start an entry host and add it to the host list."""
        number = len(self.settings)
        zone = self._zones()[number % len(self._zones())]
        settings = self._make_settings(name, zone)
        self.settings[name] = settings
        path = pathlib.Path(self._folder.name) / f"{name}.yaml"
        path.write_text(yaml.safe_dump(msgspec.to_builtins(settings)))
        log = path.with_suffix(".log").open("wb")
        with log:
            self._children[name] = _start_process(
                ["serve", str(path)], log, log
            )
        self.addresses[name] = settings.callers_address
        host_record = {
            "name": name,
            "address": settings.callers_address,
            "role": "entry",
            "availability_zone": zone,
            "peers_address": settings.peers_address,
        }
        path = f"/v1/hosts/{name}"
        self.call(self.addresses["host-list"], "PUT", path, host_record)

    def restart_host(self, name):
        """Restart a killed host with the same settings and addresses."""
        path = pathlib.Path(self._folder.name) / f"{name}.yaml"
        self._children[name].wait(STOP_TIMEOUT_SECONDS)
        log = path.with_suffix(".log").open("ab")
        with log:
            self._children[name] = _start_process(
                ["serve", str(path)], log, log
            )

    def apply_scope(self):
        """Apply the scope through the first host."""
        address = self.settings["entry-0"].operators_address
        path = f"/v1/admin/scopes/{self._scope['scope']}"
        text = dump_scope(self._scope).encode()

        def is_applied():
            answer = self.call(address, "PUT", path, text, seconds=30.0)
            return answer.status < 300

        self._wait(is_applied, "scope was not accepted")

    def call(self, address, method, path, body=None, seconds=5.0):
        """Send a request with the operator's key and return the response.

        Parameters
        ----------
        address : str
            Address of a host or stand-in.
        method, path : str
            Method and path of the request.
        body : object, optional
            Body of the request, as for `HttpClient.call`.
        seconds : float
            Time after which the call fails.
        """
        headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
        deadline = time.monotonic() + seconds
        return self.client.call(address, method, path, body, deadline, headers)

    def inject_fault(self, name, kind, order=None):
        """Inject a fault.

        Parameters
        ----------
        name : str
            Name of the host or stand-in.
        kind : str
            ``kill``, ``pause`` or ``resume`` for the process, or
            ``standin`` for a fault that a stand-in simulates.
        order : dict, optional
            Fields of the `FaultOrder` for the stand-in.
        """
        if kind == "standin":
            self.call(self.addresses[name], "POST", "/standin/faults", order)
            return
        signals = {
            "kill": signal.SIGKILL,
            "pause": signal.SIGSTOP,
            "resume": signal.SIGCONT,
        }
        os.kill(self.pid(name), signals[kind])

    def log(self, name):
        """Return the log of an entry host."""
        path = pathlib.Path(self._folder.name) / f"{name}.log"
        return path.read_text(errors="replace")

    def close(self):
        """Kill all processes of this system and delete their files."""
        for child in self._children.values():
            with contextlib.suppress(ProcessLookupError):
                child.send_signal(signal.SIGKILL)
                child.send_signal(signal.SIGCONT)
        for child in self._children.values():
            child.wait(STOP_TIMEOUT_SECONDS)
            if child.stdout is not None:
                child.stdout.close()
        self.client.close()
        self._folder.cleanup()

    def _start_standins(self):
        commands = {
            "key-value": ["key-value"],
            "host-list": ["host-list"],
            **self._target_commands(),
        }
        for name, command in commands.items():
            self._children[name] = _start_process(
                ["standin", *command], subprocess.PIPE, subprocess.DEVNULL
            )
        for name in commands:
            line = self._children[name].stdout.readline()
            self.addresses[name] = line.decode().strip()
        for group in self._scope["groups"]:
            for target in group["targets"]:
                target["address"] = self.addresses[target["name"]]

    def _target_commands(self):
        models = {model["name"]: model for model in self._scope["models"]}
        commands = {}
        for group in self._scope["groups"]:
            for target in group["targets"]:
                name = target["name"]
                if group["kind"] == "service":
                    options = msgspec.json.encode(name)
                    commands[name] = ["service", "--options", options]
                    continue
                model = models[group["model"]]
                options = msgspec.json.encode(
                    self._engine_options(target, model)
                )
                commands[name] = ["engine", "--options", options]
        return commands

    def _engine_options(self, target, model):
        options = {
            "name": target["name"],
            "model": model["name"],
            "version": model["serving"],
            "layers": model["layers"],
            "step_seconds": self._step_seconds,
            **target["layers"],
            **self._engine,
        }
        return msgspec.convert(options, EngineOptions)

    def _make_settings(self, name, zone):
        operator = Operator(
            name="measure", role=Role.OPERATE, key_hash=hash_key(OPERATOR_KEY)
        )
        return Settings(
            host=name,
            availability_zone=zone,
            callers_address=free_address(),
            operators_address=free_address(),
            peers_address=free_address(),
            key_value_service=[self.addresses["key-value"]],
            host_list=self.addresses["host-list"],
            operators=[operator],
            signing_keys=["signing-key-of-the-measuring-tool"],
            plain_text_allowed=True,
            bounds=self._bounds,
        )

    def _zones(self):
        zones = {
            target["availability_zone"]: None
            for group in self._scope["groups"]
            for target in group["targets"]
        }
        return list(zones) or ["zone-a"]

    def _is_ready(self):
        engines = sum(
            len(group["targets"])
            for group in self._scope["groups"]
            if group["kind"] == "engine"
        )
        for settings in self.settings.values():
            answer = self.call(
                settings.operators_address, "GET", "/v1/admin/status"
            )
            status = answer.json(dict)
            known = [t for t in status.get("targets", []) if t["version"]]
            if not status.get("revision") or len(known) < engines:
                return False
        return True

    def _wait(self, condition, failure):
        deadline = time.monotonic() + START_TIMEOUT_SECONDS
        while time.monotonic() < deadline:
            with contextlib.suppress(ApricotseamError):
                if condition():
                    return
            time.sleep(POLL_SECONDS)
        raise TimeoutError(
            f"{failure} within {START_TIMEOUT_SECONDS} s; end of the"
            f" log of entry-0: {self.log('entry-0')[-300:]}"
        )


def _start_process(arguments, output, log):
    return subprocess.Popen(
        [sys.executable, "-m", "apricotseam", *arguments],
        cwd=ROOT,
        stdin=subprocess.DEVNULL,
        stdout=output,
        stderr=log,
    )
