"""A small deployment on loopback: store, hosts, servers and clients.

The hosts are the project's own processes, started with the command and the
settings template of the deploy folder. The store is the project's stand-in.
Servers are processes of `server.py`.
"""

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

import h11

from apricotseam.platform.standins import StoreStandIn

ROOT = pathlib.Path(__file__).resolve().parent.parent
IP = "127.0.0.1"
HOST_NAME = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
SERVICE = "portal"
# The platform's bounds of the small site files.
CONTACT_SECONDS = 3.0
CONFIG_APPLY_SECONDS = 2.0
DRAIN_SECONDS = 2.0
GRACE_SECONDS = 8
ROLLBACK_SLACK_SECONDS = 0.25
DEADLINE_SECONDS = 3.0
READY_SECONDS = 20.0


class Ports:
    """Free loopback ports below the range of outgoing connections."""

    def __init__(self):
        first = random.SystemRandom().randrange(12000, 31000)
        self._numbers = itertools.count(first)

    def take(self):
        """Return ``ip:port`` of a port on which nothing listens."""
        for number in self._numbers:
            with socket.socket() as probe, contextlib.suppress(OSError):
                probe.bind((IP, number))
                return f"{IP}:{number}"


class Record:
    """The events of a run, for ``record.txt``."""

    def __init__(self):
        self.started_at = time.monotonic()
        self.lines = []

    def note(self, text, at=None):
        """Add a line with the time since the start in seconds."""
        seconds = (at or time.monotonic()) - self.started_at
        self.lines.append((seconds, text))

    def write(self, path):
        """Write all lines in order of time."""
        lines = [f"{at:9.3f} {text}" for at, text in sorted(self.lines)]
        pathlib.Path(path).write_text("\n".join(lines) + "\n")


class HostProcess:
    """One host, started as deploy/system.toml says."""

    def __init__(self, deployment, name, store_address):
        take = deployment.ports.take
        self.name = name
        self.callers = take()
        self.directory = take()
        self.readiness = take()
        self.peers = take()
        self._deployment = deployment
        ports = [int(take().rpartition(":")[2]) for _ in range(2)]
        self._fields = {
            "NodeName": name,
            "Zone": "zone-a",
            "Region": "region",
            "Ip": IP,
            "PortRange": ports,
            "Listen": {
                "Frontend": self.callers,
                "Readiness": self.readiness,
                "Directory": self.directory,
                "ControlPlane": self.peers,
            },
            "Platform": {"Address": store_address},
            "Seeds": [],
            "Bounds": {
                "ttl_max_s": 5,
                "GraceS": GRACE_SECONDS,
                "RetryRatio": 0.2,
                "RetrySlack": 200,
                "RetryWindowS": 10,
            },
        }
        # Port 9464 of the template is free once only on one machine.
        self._metrics = take()
        self.process = None

    def start(self, seeds):
        """Write the settings and start the process."""
        self._fields["Seeds"] = seeds
        template = (ROOT / "deploy/settings.yaml.tmpl").read_text()
        text = fill_in(template, self._fields).replace(
            f"{IP}:9464", self._metrics
        )
        path = self._deployment.folder / f"{self.name}.yaml"
        path.write_text(text)
        log = (self._deployment.folder / f"{self.name}.log").open("ab")
        with (ROOT / "deploy/system.toml").open("rb") as file:
            command = tomllib.load(file)["roles"]["entry"]["run"].split()
        self.process = subprocess.Popen(
            [sys.executable if command[0] == "python3" else command[0]]
            + command[1:],
            cwd=ROOT,
            stdout=log,
            stderr=log,
            env={
                "PATH": os.environ.get("PATH", ""),
                "HOME": os.environ.get("HOME", "/"),
                "PYTHONPATH": str(ROOT / "target/deps"),
                "APRICOTSEAM_SETTINGS": str(path),
            },
        )


class ServerProcess:
    """One server of a service, see `server.py`."""

    numbers = itertools.count(1)

    def __init__(self, deployment, address=None, service=SERVICE, **options):
        self.deployment = deployment
        self.address = address or deployment.ports.take()
        self.service = service
        self.options = options
        self.identity = ""
        self.process = None

    def start(self):
        """Start a new incarnation and wait until it listens."""
        self.identity = f"i-{next(self.numbers):08x}"
        options = {
            "address": self.address,
            "identity": self.identity,
            "journal": str(self.deployment.journal),
            **self.options,
        }
        self.process = subprocess.Popen(
            [sys.executable, str(ROOT / "review/server.py")]
            + [json.dumps(options)],
            stdout=subprocess.PIPE,
        )
        self.process.stdout.readline()

    def entry(self, state="ready"):
        """Return the value of its entry in the store."""
        return json.dumps(
            {
                "Service": self.service,
                "Address": self.address,
                "Zone": "zone-a",
                "Version": "1",
                "Slots": 16,
                "State": state,
                "ColdLeftMs": 0,
                "Sequence": 0,
            }
        ).encode()

    def register(self, state="ready"):
        """Write its entry, as the server does."""
        self.deployment.store.put(
            f"servers/{self.identity}", self.entry(state)
        )

    def remove(self):
        """Remove its entry."""
        self.deployment.store.delete(f"servers/{self.identity}")


class Deployment:
    """All parts of one run."""

    def __init__(self, hosts=3, store_type=StoreStandIn, proxy=None):
        self.ports = Ports()
        self.record = Record()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.journal = self.folder / "journal.jsonl"
        self.journal.touch()
        addresses = [self.ports.take() for _ in range(hosts)]
        self.store_addresses = addresses
        self.store = store_type(addresses)
        self.proxies = []
        if proxy is not None:
            self.proxies = [proxy(self.ports.take(), a) for a in addresses]
            addresses = [p.address for p in self.proxies]
        self.hosts = [
            HostProcess(self, f"edge-{n}", address)
            for n, address in enumerate(addresses)
        ]
        self.servers = []
        self.version = 10
        self.attempts = []
        self._request_numbers = itertools.count(1)

    def configuration(self, routes, services=(SERVICE,)):
        """Return a configuration of the next version."""
        self.version += 3
        return {
            "Version": self.version,
            "Routes": list(routes),
            "Services": [{"Name": name, "MaxConns": 500} for name in services],
            "Limits": {
                "MaxHeaderBytes": 16384,
                "MaxBodyBytes": 1 << 20,
                "HeaderTimeoutMs": 3000,
                "IdleTimeoutMs": 15000,
            },
            "Tenants": [{"Name": TENANT, "ApiKeys": [KEY]}],
        }

    def configure(self, configuration):
        """Write a configuration, as the operator does."""
        self.store.write_configuration(configuration)
        self.record.note(f"operator writes version {self.version}")

    async def start(self, configuration, has_store=False):
        """Start all parts; return once each host is ready."""
        if not has_store:
            await self.store.start()
        for proxy in self.proxies:
            await proxy.start()
        self.configure(configuration)
        for server in self.servers:
            server.start()
            server.register()
        seeds = [host.peers for host in self.hosts]
        for host in self.hosts:
            host.start(seeds)
        deadline = time.monotonic() + READY_SECONDS
        for host in self.hosts:
            while not await self._is_ready(host):
                if time.monotonic() > deadline:
                    raise TimeoutError(f"{host.name} is not ready")
                await asyncio.sleep(0.1)
        await asyncio.sleep(CONTACT_SECONDS)

    async def _is_ready(self, host):
        try:
            client = await Client.open(host.readiness)
            status, _, _ = await client.ask("GET", "/v1/readyz", [], b"", 1.0)
            client.close()
        except (OSError, ConnectionError, TimeoutError):
            return False
        return status == 200

    def stop(self):
        """End all processes that were started."""
        for each in [*self.hosts, *self.servers]:
            if each.process is not None:
                with contextlib.suppress(ProcessLookupError):
                    each.process.send_signal(signal.SIGCONT)
                    each.process.kill()
                each.process.wait()
        for proxy in self.proxies:
            proxy.stop()
        self.store.stop()

    def next_id(self):
        """Return the id of another request."""
        return f"r{next(self._request_numbers):07d}"

    def journal_events(self):
        """Return what the servers noted."""
        lines = self.journal.read_text().splitlines()
        return [json.loads(line) for line in lines]

    async def client(self, host, path, until, pause_seconds, method="POST"):
        """Send requests one after the other on a kept connection."""
        connection = None
        while time.monotonic() < until:
            await asyncio.sleep(pause_seconds * random.uniform(0.0, 2.0))
            try:
                if connection is None:
                    connection = await Client.open(host.callers)
            except (OSError, TimeoutError):
                continue
            attempt = Attempt(self.next_id(), path)
            attempt.host = host.name
            self.attempts.append(attempt)
            is_kept = await attempt.run(connection, method)
            if not is_kept:
                connection.close()
                connection = None
        if connection is not None:
            connection.close()


class Attempt:
    """One request of a client and its answer."""

    def __init__(self, request_id, path):
        self.request_id = request_id
        self.path = path
        self.host = ""
        self.sent_at = 0.0
        self.ended_at = 0.0
        self.status = 0
        self.fields = {}
        self.body = b""
        # "whole", "cut" (the answer broke off), "closed" (no answer) or
        # "hung" (no end one second after the deadline).
        self.outcome = ""

    async def run(self, connection, method):
        """Send it; return whether the connection is kept."""
        headers = [
            ("Host", HOST_NAME),
            ("Apricotseam-Request-Id", self.request_id),
            ("Apricotseam-Deadline-Ms", str(int(DEADLINE_SECONDS * 1000))),
            ("Apricotseam-Key", KEY),
        ]
        body = b"x" * 200 if method == "POST" else b""
        if body:
            headers.append(("Content-Length", str(len(body))))
        self.sent_at = time.monotonic()
        try:
            self.status, self.fields, self.body = await connection.ask(
                method, self.path, headers, body, DEADLINE_SECONDS + 1.0
            )
            self.outcome = "whole"
        except CutError:
            self.outcome = "cut"
        except (OSError, ConnectionError):
            self.outcome = "closed"
        except TimeoutError:
            self.outcome = "hung"
        self.ended_at = time.monotonic()
        keeps = self.fields.get("connection", "").lower() != "close"
        return self.outcome == "whole" and keeps

    def describe(self):
        """Return a line for the record."""
        return (
            f"client {self.request_id} {self.path} at {self.host}:"
            f" {self.status} {self.outcome}, {len(self.body)} bytes, after"
            f" {self.ended_at - self.sent_at:.3f} s"
        )


class CutError(Exception):
    """An answer that broke off."""


class Client:
    """A kept connection of a client."""

    def __init__(self, reader, writer):
        self._reader = reader
        self._writer = writer
        self._parser = h11.Connection(h11.CLIENT)

    @classmethod
    async def open(cls, address):
        """Connect within one second."""
        host, _, port = address.rpartition(":")
        async with asyncio.timeout(1.0):
            return cls(*await asyncio.open_connection(host, int(port)))

    def close(self):
        """Close the connection."""
        self._writer.close()

    async def ask(self, method, path, headers, body, seconds):
        """Send one request; return status, header fields and body."""
        if not any(name == "Host" for name, _ in headers):
            headers = [("Host", HOST_NAME), *headers]
        request = h11.Request(method=method, target=path, headers=headers)
        data = self._parser.send(request)
        if body:
            data += self._parser.send(h11.Data(data=body))
        data += self._parser.send(h11.EndOfMessage())
        self._writer.write(data)
        async with asyncio.timeout(seconds):
            return await self._read()

    async def _read(self):
        status, fields, body = 0, {}, b""
        while True:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError:
                raise (CutError() if status else ConnectionError()) from None
            if event is h11.NEED_DATA:
                try:
                    self._parser.receive_data(await self._reader.read(1 << 16))
                except OSError:
                    raise (
                        CutError() if status else ConnectionError()
                    ) from None
            elif isinstance(event, h11.Response):
                status = event.status_code
                fields = {n.decode(): v.decode() for n, v in event.headers}
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                if self._parser.our_state is h11.DONE:
                    with contextlib.suppress(h11.LocalProtocolError):
                        self._parser.start_next_cycle()
                return status, fields, body
            elif isinstance(event, h11.ConnectionClosed):
                raise (CutError() if status else ConnectionError())


def route(prefix, kind, service=SERVICE, **fields):
    """Return a route as the operator writes it."""
    return {
        "Name": prefix.strip("/"),
        "Host": HOST_NAME,
        "Prefix": prefix,
        "RouteKind": kind,
        "Service": service,
        "TimeoutMs": 3000,
        "TargetLatencyMs": 400,
        "Priority": 1,
        "MaxAttempts": 1 if kind == "unsafe" else 2,
        **fields,
    }


def fill_in(template, fields):
    """Fill in the placeholders ``{{a.b}}`` and ``{{a.b|json}}``."""

    def value(match):
        found = fields
        name, _, form = match.group(1).partition("|")
        for part in name.split("."):
            found = found[int(part) if part.isdigit() else part]
        return json.dumps(found) if form == "json" else str(found)

    return re.sub(r"\{\{([^}]+)\}\}", value, template)


def is_disturbed():
    """Return whether the disruption is to be played (``TROUBLE``)."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(play, judge, folder):
    """Play a case, write its record and exit with its result.

    Parameters
    ----------
    play : callable
        Coroutine function that returns a started and played `Deployment`.
    judge : callable
        Takes the deployment; returns the violations as a list of str.
    folder : pathlib.Path
        Folder for ``record.txt``.
    """
    signal.signal(signal.SIGTERM, _interrupt)
    try:
        deployment = asyncio.run(play())
        broken = judge(deployment)
    except (Exception, KeyboardInterrupt) as error:
        print(f"the case could not run: {error!r}")
        sys.exit(2)
    record = deployment.record
    for attempt in deployment.attempts:
        record.note(attempt.describe(), attempt.sent_at)
    for event in deployment.journal_events():
        text = f"server {event['server']}: {event['event']} {event['id']}"
        record.note(text, event["at"])
    for line in broken:
        record.note(f"BROKEN {line}")
    record.write(pathlib.Path(folder) / "record.txt")
    if not os.environ.get("KEEP"):
        shutil.rmtree(deployment.folder, ignore_errors=True)
    print(f"{len(deployment.attempts)} requests, {len(broken)} violations")
    for line in broken[:10]:
        print(line)
    sys.exit(1 if broken else 0)


def _interrupt(number, frame):
    """End the run; all processes are ended on the way out."""
    raise KeyboardInterrupt
