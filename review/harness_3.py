"""Small deployment on loopback addresses for the cases 11 to 15.

The hosts are processes of their own, started with the command of the deploy
file and with settings that are filled in from its template. The store is the
project's stand-in; servers and clients belong to the cases.
"""

import asyncio
import contextlib
import inspect
import json
import os
import pathlib
import random
import re
import shlex
import signal
import socket
import subprocess
import tempfile
import time
import tomllib

from apricotseam.platform.standins import StoreStandIn

ROOT = pathlib.Path(__file__).resolve().parent.parent
LOOPBACK = "127.0.0.1"
HOST_NAME = "ficu95.example"
API_KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
# Bounds of the small sites, as the platform states them.
BOUNDS = {
    "ttl_max_s": 5,
    "GraceS": 8,
    "RetryRatio": 0.2,
    "RetrySlack": 200,
    "RetryWindowS": 10,
}
# Ports from which free ones are chosen.
PORTS = (12000, 32000)
LEASE_CHECK_SECONDS = 0.1
START_SECONDS = 15.0
KILL_SECONDS = 5.0

# Exit codes of a case.
HELD = 0
BROKEN = 1
NOT_RUN = 2


class CaseNotRunError(Exception):
    """The case could not be played as planned."""


def free_port():
    """Return a port of the loopback address that nothing uses now.

    It is below those that the system gives to connections, so that none
    takes it before a process listens there.
    """
    while True:
        port = random.randrange(*PORTS)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind((LOOPBACK, port))
            return port


def free_address():
    """Return ``ip:port`` of such a port."""
    return f"{LOOPBACK}:{free_port()}"


def is_troubled():
    """Return whether the disruption is played; not with ``TROUBLE=0``."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Log of what was sent, answered and run, in ``record.txt``."""

    def __init__(self, folder):
        self._file = (folder / "record.txt").open("w")
        self._started_at = time.monotonic()

    def add(self, text):
        """Write one line with the time since the start of the case."""
        seconds = time.monotonic() - self._started_at
        self._file.write(f"{seconds:8.3f} {text}\n")
        self._file.flush()


class HostProcess:
    """One host of the system, as the deploy file starts it."""

    def __init__(self, name, folder, store_address, seeds, peers, zone="z1"):
        self.name = name
        self.frontend = free_address()
        self.directory = free_address()
        self.readiness = free_address()
        self.relay_port = free_port()
        self.peers = peers
        self._folder = folder
        self._process = None
        self._values = {
            "NodeName": name,
            "Zone": zone,
            "Region": "r1",
            "Listen": {
                "Frontend": self.frontend,
                "Readiness": self.readiness,
                "Directory": self.directory,
                "ControlPlane": peers,
            },
            "Ip": LOOPBACK,
            "PortRange": [self.relay_port, self.relay_port],
            "Platform": {"Address": store_address},
            "Seeds": seeds,
            "Bounds": BOUNDS,
        }

    @property
    def log_path(self):
        """File with what the process logs."""
        return self._folder / f"{self.name}.log"

    def start(self):
        """Start the process."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["entry"]
        text = fill_in((ROOT / role["template"]).read_text(), self._values)
        # Each machine has its own address; here all share one.
        text = text.replace(f'"{LOOPBACK}:9464"', f'"{free_address()}"')
        settings = self._folder / f"{self.name}.yaml"
        settings.write_text(text)
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["APRICOTSEAM_SETTINGS"] = str(settings)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with self.log_path.open("ab") as log:
            self._process = subprocess.Popen(
                shlex.split(role["run"]),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def send_signal(self, number):
        """Send a signal to the process."""
        self._process.send_signal(number)

    @property
    def exit_code(self):
        """Exit code of the process, None while it runs."""
        return self._process.poll()

    def stop(self):
        """End the process."""
        if self._process is None or self._process.poll() is not None:
            return
        self._process.send_signal(signal.SIGCONT)
        self._process.kill()
        self._process.wait(KILL_SECONDS)

    async def wait_until_ready(self):
        """Wait until the host takes requests."""
        deadline = time.monotonic() + START_SECONDS
        while time.monotonic() < deadline:
            if self.exit_code is not None:
                raise CaseNotRunError(f"{self.name} ended by itself")
            try:
                answer = await get(self.readiness, "/v1/readyz")
            except OSError:
                answer = b""
            if answer.startswith(b"HTTP/1.1 200"):
                return
            await asyncio.sleep(0.1)
        raise CaseNotRunError(f"{self.name} is not ready")


def fill_in(template, values):
    """Return a template of the platform with its placeholders filled in."""

    def find(match):
        value = values
        for part in match.group(1).split("."):
            value = value[int(part)] if part.isdigit() else value[part]
        return json.dumps(value) if match.group(2) else str(value)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", find, template)


async def get(address, path):
    """Return the whole answer to one GET request."""
    ip, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    try:
        writer.write(
            f"GET {path} HTTP/1.1\r\nHost: {address}\r\n"
            "Connection: close\r\n\r\n".encode()
        )
        return await asyncio.wait_for(reader.read(), 2.0)
    except TimeoutError:
        raise ConnectionError(f"{address} does not answer") from None
    finally:
        writer.close()


class System:
    """The store and the hosts of one case."""

    def __init__(self, folder, hosts=1):
        store_address = free_address()
        self.store = StoreStandIn([store_address])
        peers = [free_address() for _ in range(hosts)]
        self.hosts = [
            HostProcess(
                f"edge-{n + 1}", folder, store_address, peers[:3], peer
            )
            for n, peer in enumerate(peers)
        ]
        self._leases = None

    async def start(self, configuration):
        """Start everything and wait until the hosts take requests."""
        await self.store.start()
        loop = asyncio.get_running_loop()
        self._leases = loop.create_task(self._expire_leases())
        self.store.write_configuration(configuration)
        for host in self.hosts:
            host.start()
        for host in self.hosts:
            await host.wait_until_ready()

    def stop(self):
        """End all processes that were started."""
        for host in self.hosts:
            host.stop()
        self.store.stop()
        if self._leases is not None:
            self._leases.cancel()

    async def _expire_leases(self):
        while True:
            await asyncio.sleep(LEASE_CHECK_SECONDS)
            self.store.expire_leases()


def make_configuration(routes, services, version=1, limits=None):
    """Return a configuration as the operator writes it."""
    return {
        "Version": version,
        "Routes": routes,
        "Services": services,
        "Tenants": [{"Name": TENANT, "ApiKeys": [API_KEY]}],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
            **(limits or {}),
        },
    }


def make_route(prefix, kind, service, **fields):
    """Return one route of a configuration."""
    return {
        "Name": prefix.strip("/"),
        "Host": HOST_NAME,
        "Prefix": prefix,
        "RouteKind": kind,
        "TimeoutMs": 20000,
        "TargetLatencyMs": 500,
        "GapAimMs": 200,
        "Priority": 1,
        "Service": service,
        "MaxAttempts": 2,
        **fields,
    }


def run(case):
    """Play a case in a folder of its own; return the exit code.

    Parameters
    ----------
    case : callable
        Coroutine function that takes the `Record` and a temporary folder,
        and returns whether the rule was broken.
    """
    record = Record(pathlib.Path(inspect.getfile(case)).resolve().parent)
    with tempfile.TemporaryDirectory() as folder:
        try:
            is_broken = asyncio.run(case(record, pathlib.Path(folder)))
        except (CaseNotRunError, OSError) as error:
            record.add(f"the case could not run: {error}")
            print(f"not run: {error}")
            return NOT_RUN
    record.add("the rule was broken" if is_broken else "the rule held")
    print("broken" if is_broken else "held")
    return BROKEN if is_broken else HELD
