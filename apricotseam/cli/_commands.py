"""Commands of the program."""

import difflib
import json
import logging
import os
import pathlib
import signal
import ssl

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

KEY_VARIABLE = "APRICOTSEAM_KEY"
AUTHORITY_VARIABLE = "APRICOTSEAM_AUTHORITY"


def http_client():
    """Return a client, with TLS where an authority is named."""
    authority = os.environ.get(AUTHORITY_VARIABLE)
    if not authority:
        return HttpClient()
    return HttpClient(tls=ssl.create_default_context(cafile=authority))


def serve(settings):
    """Run one entry host until it is told to stop.

    Settings with a `store_address` start a host on the users' platform.

    Parameters
    ----------
    settings : str
        File with the settings of the process.
    """
    text = pathlib.Path(settings).read_text()
    if is_node_settings(text):
        return run_node([settings])
    configure_logging()
    entry = EntryHost(load_settings(text, settings))
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: entry.request_stop())
    entry.start()
    entry.wait()
    entry.stop()
    return 1 if entry.has_failed else 0


def check(file):
    """Check an operators' file wholly without a host.

    Parameters
    ----------
    file : str
        The YAML file.
    """
    scope_file = load_scope_file(pathlib.Path(file).read_text(), file)
    print(f"{file}: scope {scope_file.scope} is valid")


def apply(file, *, host, change_id="", base=-1, wait=False, output="table"):
    """Replace one scope whole by a file.

    Parameters
    ----------
    file : str
        The YAML file.
    host : str
        Operators' address of any host, ``ip:port``.
    change_id : str
        Identifier of the change; a repeat with it is not applied again.
    base : int
        Revision that the file was written for; -1 for any.
    wait : bool
        Wait until every present host has the change in force.
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
    entry = _operator(host).call(
        "PUT",
        f"/v1/admin/scopes/{scope}",
        AuditEntry,
        text.encode(),
        headers,
    )
    show(entry, output)
    if wait:
        wait_for_revision(_operator(host), entry.revision)


def diff(file, *, host):
    """Show how a file differs from its scope in force.

    Parameters
    ----------
    file : str
        The YAML file.
    host : str
        Operators' address of any host, ``ip:port``.
    """
    text = pathlib.Path(file).read_text()
    scope = load_scope_file(text, file).scope
    answer = _operator(host).call(
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
    """Show what became of a change.

    Parameters
    ----------
    change_id : str
        Identifier of the change.
    host : str
        Operators' address of any host, ``ip:port``.
    output : str
        ``table`` or ``json``.
    """
    client = _operator(host)
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
    show(_operator(host).call("GET", "/v1/admin/status", dict), output)


def audit(*, host, before=0, limit=50, output="table"):
    """Show changes, newest first, and what the asked host refused.

    Parameters
    ----------
    host : str
        Operators' address of any host, ``ip:port``.
    before : int
        Only changes of lower revisions; 0 for the newest.
    limit : int
        Greatest number of changes.
    output : str
        ``table`` or ``json``.
    """
    path = f"/v1/admin/audit?limit={limit}"
    if before:
        path += f"&before={before}"
    show(_operator(host).call("GET", path, dict), output)


def drain(*, host):
    """Start a planned stop of one host.

    Parameters
    ----------
    host : str
        Operators' address of that host, ``ip:port``.
    """
    show(_operator(host).call("POST", "/v1/admin/drain", dict), "table")


def address(*, host, output="table"):
    """Ask a host which addresses a caller should use.

    Parameters
    ----------
    host : str
        Callers' address of any host, ``ip:port``.
    output : str
        ``table`` or ``json``.
    """
    show(_operator(host).call("GET", "/v1/addresses", dict), output)


def ask(model, prompt, *, host, max_tokens=64):
    """Send a prompt and print the answer as it streams.

    If the host or the connection is lost, the answer goes on at the next
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
        Bound on the answer.
    """
    key = os.environ.get(KEY_VARIABLE, "")
    client = http_client()
    answer = ResumingAnswer(key, model, prompt, max_tokens, client)
    for text in answer.read(host):
        print(text, end="", flush=True)
    print()


def explain(request_id, *logs):
    """Show what decided the fate of a request, from hosts' logs.

    Parameters
    ----------
    request_id : str
        Identifier of the request.
    logs : str
        Files with the logs of any number of hosts.
    """
    lines = []
    for path in logs:
        lines.extend(pathlib.Path(path).read_text().splitlines())
    for event in explain_request(lines, request_id):
        print(json.dumps(event))


def standin(kind, *, address="127.0.0.1:0", options="{}"):
    """Run one stand-in of the platform until interrupted.

    Parameters
    ----------
    kind : str
        ``key-value``, ``host-list``, ``engine`` or ``service``.
    address : str
        Address to listen on, ``ip:port``.
    options : str
        Options of an engine, or the name of a service, as JSON.
    """
    part = _standin(kind, address, options).start()
    print(part.address, flush=True)
    signal.sigwait([signal.SIGTERM, signal.SIGINT])
    part.stop()


def demo(*, examples="examples"):
    """Run the main job on embedded stand-ins and check its promises.

    Parameters
    ----------
    examples : str
        Folder with both teams' files.
    """
    configure_logging(logging.CRITICAL)
    promises = run_demo(examples)
    print(summarize(promises))
    return 0 if all(promise.is_kept for promise in promises) else 1


def _standin(kind, address, options):
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


def _operator(address):
    key = os.environ.get(KEY_VARIABLE, "")
    return HostClient(address, key, http_client())
