"""Commands of the command-line interface."""

import difflib
import json
import logging
import os
import pathlib
import signal
import ssl
import urllib.parse

import msgspec

from apricotseam.cli._output import show
from apricotseam.cli._wait import wait_for_revision
from apricotseam.client import HostClient
from apricotseam.client import ResumingAnswer
from apricotseam.config import AuditEntry
from apricotseam.config import load_scope_file
from apricotseam.config import load_settings
from apricotseam.demo import run_demo
from apricotseam.demo import summarize
from apricotseam.errors import InvalidInputError
from apricotseam.host import EntryHost
from apricotseam.logs import configure_logging
from apricotseam.logs import explain as explain_request
from apricotseam.node import is_node_settings
from apricotseam.node import main as run_node
from apricotseam.operators import ScopeAnswer
from apricotseam import standins
from apricotseam.web import HttpClient

OK_STATUS = 200
KEY_VARIABLE = "APRICOTSEAM_KEY"
AUTHORITY_VARIABLE = "APRICOTSEAM_AUTHORITY"


def http_client():
    """Return an HTTP client, with TLS if AUTHORITY_VARIABLE is set.

    The variable names the PEM file of the certificate authority.
    """
    authority = os.environ.get(AUTHORITY_VARIABLE)
    if not authority:
        return HttpClient()
    return HttpClient(tls=ssl.create_default_context(cafile=authority))


def serve(settings):
    """Run one entry host until it is stopped.

    With a `store_address` in the settings, the host uses that store and its
    formats instead of the key-value service.

    Parameters
    ----------
    settings : str
        File with the settings of the process.
    """
    text = pathlib.Path(settings).read_text()
    if is_node_settings(text):
        return run_node([settings])
    configure_logging()
    entry_host = EntryHost(load_settings(text, settings))
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: entry_host.request_stop())
    entry_host.start()
    entry_host.wait()
    entry_host.stop()
    return 1 if entry_host.has_failed else 0


def check(file):
    """Check a scope file locally, without a host.

    Parameters
    ----------
    file : str
        The YAML file.
    """
    scope_file = load_scope_file(pathlib.Path(file).read_text(), file)
    print(f"{file}: scope {scope_file.scope} is valid")


def apply(file, *, host, change_id="", base=-1, wait=False, output="table"):
    """Replace the configuration of one scope with a file.

    Parameters
    ----------
    file : str
        The YAML file.
    host : str
        Operators' address of any host, ``ip:port``.
    change_id : str
        Identifier of the change; a repeat with the same one is not applied
        again.
    base : int
        Revision that the file is based on; -1 for any.
    wait : bool
        Wait until the change is in force on every host that is not dead.
    output : str
        ``table`` or ``json``.
    """
    text = pathlib.Path(file).read_text()
    scope = load_scope_file(text, file).scope
    headers = {}
    if change_id:
        headers["Change-Id"] = change_id
    if base >= 0:
        headers["Base-Revision"] = str(base)
    entry = _host_client(host).call(
        "PUT",
        f"/v1/admin/scopes/{scope}",
        AuditEntry,
        text.encode(),
        headers,
    )
    show(entry, output)
    if wait:
        wait_for_revision(_host_client(host), entry.revision)


def diff(file, *, host):
    """Show how a file differs from the configuration of its scope.

    Parameters
    ----------
    file : str
        The YAML file.
    host : str
        Operators' address of any host, ``ip:port``.
    """
    text = pathlib.Path(file).read_text()
    scope = load_scope_file(text, file).scope
    answer = _host_client(host).call(
        "GET", f"/v1/admin/scopes/{scope}", ScopeAnswer
    )
    lines = difflib.unified_diff(
        answer.text.splitlines(),
        text.splitlines(),
        f"{scope} at revision {answer.revision}",
        file,
        lineterm="",
    )
    for line in lines:
        print(line)


def change(change_id, *, host, output="table"):
    """Show the outcome of a change.

    Parameters
    ----------
    change_id : str
        Identifier of the change.
    host : str
        Operators' address of any host, ``ip:port``.
    output : str
        ``table`` or ``json``.
    """
    client = _host_client(host)
    show(
        client.call("GET", f"/v1/admin/changes/{change_id}", AuditEntry),
        output,
    )


def status(*, host, output="table"):
    """Show hosts, targets and the revision in force.

    Parameters
    ----------
    host : str
        Operators' address of any host, ``ip:port``.
    output : str
        ``table`` or ``json``.
    """
    show(_host_client(host).call("GET", "/v1/admin/status", dict), output)


def audit(*, host, before=0, limit=50, output="table"):
    """Show accepted changes, newest first, and those that the host refused.

    Parameters
    ----------
    host : str
        Operators' address of any host, ``ip:port``.
    before : int
        Show only changes before this revision; 0 for the newest changes.
    limit : int
        Maximum number of changes.
    output : str
        ``table`` or ``json``.
    """
    path = f"/v1/admin/audit?limit={limit}"
    if before:
        path += f"&before={before}"
    show(_host_client(host).call("GET", path, dict), output)


def drain(*, host):
    """Start a planned stop of one host.

    Parameters
    ----------
    host : str
        Operators' address of that host, ``ip:port``.
    """
    show(_host_client(host).call("POST", "/v1/admin/drain", dict), "table")


def address(*, host, output="table"):
    """Ask a host which addresses a caller should use.

    Parameters
    ----------
    host : str
        Callers' address of any host, ``ip:port``.
    output : str
        ``table`` or ``json``.
    """
    show(_host_client(host).call("GET", "/v1/addresses", dict), output)


def ask(model, prompt, *, host, max_tokens=64):
    """Send a prompt and print the answer as it streams.

    If the host or the connection is lost, the answer resumes at the next
    address that the host named.

    Parameters
    ----------
    model : str
        Name of the pipeline.
    prompt : str
        Text of the user's message.
    host : str
        Callers' address of any host, ``ip:port``.
    max_tokens : int
        Maximum number of tokens of the answer.
    """
    key = os.environ.get(KEY_VARIABLE, "")
    client = http_client()
    answer = ResumingAnswer(key, model, prompt, max_tokens, client)
    for text in answer.read(host):
        print(text, end="", flush=True)
    print()


def explain(request_id, *logs):
    """Show the events in hosts' logs that explain a request's outcome.

    Parameters
    ----------
    request_id : str
        Identifier of the request.
    logs : str
        Log files of any number of hosts.
    """
    lines = []
    for path in logs:
        lines.extend(pathlib.Path(path).read_text().splitlines())
    for event in explain_request(lines, request_id):
        print(json.dumps(event))


def quarantine(*, host, release=""):
    """Show the requests that are held back because they end targets.

    Parameters
    ----------
    host : str
        Metrics address of any host on the users' platform, ``ip:port``.
    release : str
        Trait to release, as the list names it; nothing is listed then.
    """
    client = http_client()
    if release:
        query = urllib.parse.urlencode({"trait": release})
        path = f"/quarantine?{query}"
        if client.call(host, "POST", path).status != OK_STATUS:
            raise InvalidInputError(
                f"trait {release} is not held back at {host}",
                "list the traits without --release",
            )
        return
    for held in client.call(host, "GET", "/quarantine").json(list[dict]):
        print(json.dumps(held))


def reach(*hosts):
    """Show which targets hosts reach, one line a host.

    Parameters
    ----------
    hosts : str
        Metrics addresses of hosts on the users' platform, ``ip:port``.
    """
    client = http_client()
    for host in hosts:
        print(json.dumps(client.call(host, "GET", "/reach").json(dict)))


def standin(kind, *, address="127.0.0.1:0", options="{}"):
    """Run a stand-in for one service of the platform until interrupted.

    Parameters
    ----------
    kind : str
        ``key-value``, ``host-list``, ``engine`` or ``service``.
    address : str
        Address to listen on, ``ip:port``.
    options : str
        Options of an engine, or the name of a service, as JSON. Ignored
        for other kinds.
    """
    server = _create_standin(kind, address, options).start()
    print(server.address, flush=True)
    signal.sigwait([signal.SIGTERM, signal.SIGINT])
    server.stop()


def demo(*, examples="examples"):
    """Run the router on embedded stand-ins and check its guarantees.

    Parameters
    ----------
    examples : str
        Directory with the two example scope files.
    """
    configure_logging(logging.CRITICAL)
    results = run_demo(examples)
    print(summarize(results))
    return 0 if all(result.is_kept for result in results) else 1


def _create_standin(kind, address, options):
    if kind == "key-value":
        return standins.KeyValueStandIn(address)
    if kind == "host-list":
        return standins.HostListStandIn(address)
    if kind == "service":
        return standins.ServiceStandIn(msgspec.json.decode(options), address)
    if kind == "engine":
        parsed = msgspec.json.decode(options, type=standins.EngineOptions)
        return standins.EngineStandIn(parsed, address)
    raise InvalidInputError(
        f"unknown stand-in {kind!r}",
        "use key-value, host-list, engine or service",
    )


def _host_client(address):
    key = os.environ.get(KEY_VARIABLE, "")
    return HostClient(address, key, http_client())
