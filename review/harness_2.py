"""Hosts, store, servers and links for the scripts of the second review.

Hosts and servers are processes of their own on loopback addresses. The store
is the project's stand-in and runs, like the clients and the links, in the
process of the script.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "target" / "deps")]

from apricotseam.platform.standins import StoreStandIn  # noqa: E402

# `HeartbeatMs`; servers write about so often, here a little more often.
HEARTBEAT_SECONDS = 1.2
BEAT_SECONDS = 1.1
# Heartbeats of silence after which the store removes a server's entry.
SILENT_HEARTBEATS = 3
READY_SECONDS = 30.0
KEY = "key-of-the-tenant"
TENANT = "tenant"
HOST_NAME = "desk.example"
# As in the sheet of libroandino-quito.
BOUNDS = {
    "GraceS": 8,
    "RetryRatio": 0.2,
    "RetryWindowS": 10,
    "RetrySlack": 200,
    "ttl_max_s": 5,
}


class CannotRunError(Exception):
    """The case could not be brought about."""


def has_trouble():
    """Return whether the disruption is to be brought about."""
    return os.environ.get("TROUBLE", "1") != "0"


def loopback_ip():
    """Return a loopback address that no other process is likely to use."""
    parts = [random.SystemRandom().randint(2, 250) for _ in range(3)]
    return "127." + ".".join(map(str, parts))


class Record:
    """What was sent, answered and run, in the file ``record.txt``."""

    def __init__(self, folder):
        self._file = (pathlib.Path(folder) / "record.txt").open("w")
        self._started_at = time.monotonic()

    def add(self, event, **fields):
        """Write one line with the time since the start."""
        at = time.monotonic() - self._started_at
        values = " ".join(f"{k}={v}" for k, v in fields.items())
        print(f"{at:8.3f} {event} {values}", file=self._file, flush=True)


def _lookup(fields, path):
    for name in path.split("."):
        if isinstance(fields, list):
            fields = fields[int(name)]
        else:
            fields = fields.get(name)
        if fields is None:
            return None
    return fields


def fill_template(text, fields):
    """Return a settings file from its template, as DEPLOY.md says."""

    def value(match):
        path, _, form = match.group(1).partition("|")
        found = _lookup(fields, path)
        if form == "json":
            return json.dumps(found)
        return "" if found is None else str(found)

    return re.sub(r"\{\{([^{}]+)\}\}", value, text)


class HostProcess:
    """One host, started as the deploy file says."""

    def __init__(self, name, zone, ip, peers, store_address, folder):
        self.name = name
        self.ip = ip
        self.zone = zone
        self._folder = folder
        self.process = None
        self._seeds = [f"{peer}:8229" for peer in peers[:3]]
        self._store_address = store_address

    @property
    def callers_address(self):
        """Address for clients."""
        return f"{self.ip}:8227"

    @property
    def readiness_address(self):
        """Address for the platform's questions."""
        return f"{self.ip}:8220"

    def _fields(self):
        return {
            "NodeName": self.name,
            "Ip": self.ip,
            "Zone": self.zone,
            "Region": "region",
            "PortRange": [7340, 7355],
            "Seeds": self._seeds,
            "Listen": {
                "Frontend": f"{self.ip}:8227",
                "Readiness": f"{self.ip}:8220",
                "ControlPlane": f"{self.ip}:8229",
                "Directory": f"{self.ip}:8224",
            },
            "Bounds": BOUNDS,
            "Platform": {"Address": self._store_address},
        }

    def start(self):
        """Start the process."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["entry"]
        template = (ROOT / role["template"]).read_text()
        path = self._folder / f"{self.name}.yaml"
        path.write_text(fill_template(template, self._fields()))
        names = ("PATH", "HOME", "LANG")
        env = {n: os.environ[n] for n in names if n in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["APRICOTSEAM_SETTINGS"] = str(path)
        log = (self._folder / f"{self.name}.log").open("ab")
        self.process = subprocess.Popen(
            role["run"].split(), cwd=ROOT, env=env, stdout=log, stderr=log
        )
        log.close()

    def send_signal(self, number):
        """Send a signal to the process."""
        self.process.send_signal(number)

    def log_lines(self, event):
        """Return the lines of its log that contain a text."""
        text = (self._folder / f"{self.name}.log").read_text()
        return [line for line in text.splitlines() if event in line]


class ServerProcess:
    """One server in a process of its own, and its entry in the store."""

    def __init__(self, identity, address, service, zone="a", **options):
        self.identity = identity
        self.address = address
        # Address in the entry, that of a link if there is one before it.
        self.shown_address = address
        self.service = service
        self.zone = zone
        self.options = options
        self.process = None
        self.lines = []
        self._reader = None
        self.born = 0
        # Time of its last heartbeat.
        self.beat_at = 0.0
        # Whether it has left; it may go on to serve.
        self.has_left = False

    @property
    def is_up(self):
        """Whether the process runs."""
        return self.process is not None and self.process.returncode is None

    async def start(self):
        """Start the process; return once it listens."""
        self.born = int(time.time() * 1000)
        options = {
            "identity": self.identity,
            "address": self.address,
            "born": self.born,
            **self.options,
        }
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(ROOT / "review" / "server_2.py"),
            json.dumps(options),
            stdout=asyncio.subprocess.PIPE,
        )
        first = await self.process.stdout.readline()
        if first.strip() != b"listening":
            raise CannotRunError(f"server {self.identity} did not start")
        self._reader = asyncio.create_task(self._read())

    async def _read(self):
        while line := await self.process.stdout.readline():
            fields = json.loads(line)
            fields["at"] = time.monotonic()
            self.lines.append(fields)

    def said(self, event):
        """Return what the server has reported of a kind."""
        return [line for line in self.lines if line["event"] == event]

    def entry(self, state="ready"):
        """Return its entry in the store."""
        fields = {
            "Service": self.service,
            "Address": self.shown_address,
            "Zone": self.zone,
            "Version": "v1",
            "Slots": self.options.get("slots", 96),
            "State": state,
            "ColdLeftMs": 0,
            "Sequence": 0,
            "born": self.born,
        }
        if "kind" in self.options:
            fields["RouteKind"] = self.options["kind"]
            layers = self._layers()
            fields["Stage"] = "unified"
            fields["Models"] = [{"Name": "m", "Version": 1, "Adapters": []}]
            if layers:
                fields["Layers"] = {
                    "From": layers[0],
                    "Target": layers[1],
                    "Version": 1,
                }
        return json.dumps(fields).encode()

    def _layers(self):
        held = self.said("layers")
        if held:
            return held[-1]["layers"]
        return self.options.get("layers")

    async def kill(self):
        """Let the process crash."""
        if self.is_up:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()


class Link:
    """A link to a server; it may be cut and healed.

    While it is cut, nothing passes in either direction, also no new
    connection. What was sent meanwhile arrives after the cut, as does the
    end of a connection whose process has ended.
    """

    def __init__(self, address, target_address):
        self.address = address
        self._target_address = target_address
        self._is_open = asyncio.Event()
        self._is_open.set()
        self._server = None
        self._writers = set()

    async def start(self):
        """Listen."""
        ip, port = self.address.split(":")
        self._server = await asyncio.start_server(self._serve, ip, int(port))

    def cut(self):
        """Let nothing pass."""
        self._is_open.clear()

    def heal(self):
        """Let everything pass."""
        self._is_open.set()

    def stop(self):
        """Close all connections."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        far_writer = None
        try:
            await self._is_open.wait()
            ip, port = self._target_address.split(":")
            far_reader, far_writer = await asyncio.open_connection(
                ip, int(port)
            )
            self._writers.add(far_writer)
            tasks = [
                asyncio.create_task(self._pass(reader, far_writer)),
                asyncio.create_task(self._pass(far_reader, writer)),
            ]
            await asyncio.gather(*tasks)
        except OSError:
            writer.transport.abort()
        finally:
            for each in (writer, far_writer):
                if each is not None:
                    each.close()
                    self._writers.discard(each)

    async def _pass(self, reader, writer):
        try:
            while data := await reader.read(65536):
                await self._is_open.wait()
                writer.write(data)
                await writer.drain()
            await self._is_open.wait()
            writer.close()
        except OSError:
            await self._is_open.wait()
            writer.transport.abort()


class Deployment:
    """Store, servers and hosts of one case."""

    def __init__(self, record, configuration, host_count=3):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self._configuration = configuration
        store_address = f"{loopback_ip()}:8223"
        self.store = StoreStandIn([store_address])
        ips = [loopback_ip() for _ in range(host_count)]
        # Link of the first host to the store.
        self.store_link = Link(f"{loopback_ip()}:8223", store_address)
        self.links = [self.store_link]
        self.hosts = [
            HostProcess(
                f"edge-a-{n}",
                "a",
                ip,
                ips,
                store_address if n else self.store_link.address,
                self.folder,
            )
            for n, ip in enumerate(ips)
        ]
        self.servers = []
        self._tasks = set()
        # Time until which each server's entry stands without a heartbeat.
        self._expires_at = {}

    async def start(self, servers):
        """Start everything; return once all hosts are ready."""
        await self.store.start()
        await self.store_link.start()
        self._spawn(self._run_store())
        self.store.write_configuration(self._configuration)
        for server in servers:
            await self.start_server(server)
        for host in self.hosts:
            host.start()
        deadline = time.monotonic() + READY_SECONDS
        for host in self.hosts:
            while not await self._is_ready(host):
                if time.monotonic() > deadline:
                    raise CannotRunError(f"{host.name} is not ready")
                await asyncio.sleep(0.1)

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)

    async def start_server(self, server, first_beat_seconds=0.0):
        """Start a server and register it.

        Parameters
        ----------
        server : ServerProcess
            The server.
        first_beat_seconds : float
            Time from the moment at which it listens to its first heartbeat.
        """
        await server.start()
        self.servers.append(server)
        self.record.add(
            "server_listens",
            id=server.identity,
            service=server.service,
            address=server.shown_address,
        )
        self._spawn(self._beat(server, first_beat_seconds))

    async def _beat(self, server, first_beat_seconds):
        """Write the entry of a server, as it does while it lives."""
        await asyncio.sleep(first_beat_seconds)
        key = f"servers/{server.identity}"
        written = None
        while server.is_up and not server.has_left:
            now = time.monotonic()
            entry = server.entry()
            if entry != written or self.store.get(key) is None:
                written = entry
                self.store.put(key, entry)
            elif now < server.beat_at + BEAT_SECONDS:
                await asyncio.sleep(0.02)
                continue
            server.beat_at = now
            self._expires_at[key] = now + SILENT_HEARTBEATS * HEARTBEAT_SECONDS

    def leave(self, server):
        """Remove the entry of a server, which serves on for a while.

        Returns
        -------
        float
            Monotonic time in seconds at which the store has accepted that.
        """
        server.has_left = True
        server.process.send_signal(signal.SIGUSR1)
        key = f"servers/{server.identity}"
        self._expires_at.pop(key, None)
        self.store.delete(key)
        self.record.add("left", id=server.identity)
        return time.monotonic()

    async def _run_store(self):
        """Let entries and leases expire."""
        while True:
            await asyncio.sleep(0.05)
            self.store.expire_leases()
            now = time.monotonic()
            for key, expires_at in list(self._expires_at.items()):
                if now >= expires_at:
                    del self._expires_at[key]
                    self.store.delete(key)
                    self.record.add("entry_removed", key=key)

    async def _is_ready(self, host):
        try:
            status, _, _ = await exchange(
                host.readiness_address, "GET", "/v1/readyz", {}, 1.0
            )
        except (OSError, TimeoutError, EOFError):
            return False
        return status == 200

    def record_runs(self):
        """Write down what all servers have run."""
        for server in self.servers:
            for line in server.said("run"):
                self.record.add("ran", id=line["id"], server=server.identity)

    async def stop(self):
        """End all processes that were started."""
        for host in self.hosts:
            if host.process is not None and host.process.poll() is None:
                host.process.send_signal(signal.SIGKILL)
                host.process.wait()
        for server in self.servers:
            await server.kill()
        for task in self._tasks:
            task.cancel()
        for link in self.links:
            link.stop()
        self.store.stop()
        if os.environ.get("KEEP_LOGS"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


async def read_head(reader):
    """Return the status and the headers of an answer."""
    head = await reader.readuntil(b"\r\n\r\n")
    status_line, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    return int(status_line.split()[1]), headers


async def read_body(reader, headers):
    """Return the whole body of an answer.

    Raises
    ------
    EOFError
        If it ended early.
    """
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if not size:
                return b"".join(parts)
            parts.append(part[:-2])
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def exchange(address, method, path, headers, seconds, body=b""):
    """Send one request on a new connection; return the whole answer.

    Returns
    -------
    status : int
    headers : dict
    body : bytes

    Raises
    ------
    EOFError, OSError, TimeoutError
        If there was no whole answer.
    """
    ip, port = address.split(":")
    async with asyncio.timeout(seconds):
        reader, writer = await asyncio.open_connection(ip, int(port))
        try:
            lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST_NAME}"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            lines.append(f"Content-Length: {len(body)}")
            head = "\r\n".join([*lines, "", ""])
            writer.write(head.encode() + body)
            status, answer_headers = await read_head(reader)
            return (
                status,
                answer_headers,
                await read_body(reader, answer_headers),
            )
        finally:
            writer.close()


def request_headers(request_id, deadline_seconds, **more):
    """Return the headers of a client's request."""
    return {
        "Apricotseam-Request-Id": request_id,
        "Apricotseam-Deadline-Ms": round(deadline_seconds * 1000),
        "Apricotseam-Key": KEY,
        **more,
    }


def route(prefix, kind, service, **fields):
    """Return a route of the configuration."""
    return {
        "Name": prefix.strip("/"),
        "Host": HOST_NAME,
        "Prefix": prefix,
        "RouteKind": kind,
        "TimeoutMs": 3000,
        "TargetLatencyMs": 400,
        "Priority": 1,
        "Service": service,
        "MaxAttempts": 2,
        "Public": False,
        **fields,
    }


def make_configuration(routes, services):
    """Return a configuration."""
    return {
        "Version": 7,
        "Routes": routes,
        "Services": services,
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": [{"Name": TENANT, "ApiKeys": [KEY], "Priority": 1}],
    }


def run_case(folder, case):
    """Run a coroutine function ``case(record)``; return the exit code.

    It returns a list of descriptions of how the rule was broken.
    """
    record = Record(folder)
    try:
        breaks = asyncio.run(case(record))
    except CannotRunError as error:
        record.add("cannot_run", error=error)
        return 2
    except Exception as error:
        record.add("cannot_run", error=repr(error))
        print(f"cannot run: {error!r}", file=sys.stderr)
        return 2
    for found in breaks:
        record.add("broken", what=found)
    record.add("result", broken=len(breaks), trouble=int(has_trouble()))
    print(f"broken: {len(breaks)}")
    return 1 if breaks else 0


def decode_value(text):
    """Return the bytes of a value in the store."""
    return base64.b64decode(text)
