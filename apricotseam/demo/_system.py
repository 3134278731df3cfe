"""A complete small system in one process: stand-ins and entry hosts."""

import threading
import time

import msgspec
import yaml

from apricotseam.callers import hash_key
from apricotseam.config import Bounds
from apricotseam.config import load_scope_file
from apricotseam.config import Operator
from apricotseam.config import Role
from apricotseam.config import Settings
from apricotseam.config import TargetKind
from apricotseam.external import ListedHost
from apricotseam.host import EntryHost
from apricotseam.standins import EngineOptions
from apricotseam.standins import EngineStandIn
from apricotseam.standins import HostListStandIn
from apricotseam.standins import KeyValueStandIn
from apricotseam.standins import ServiceStandIn
from apricotseam.web import free_address

OPERATOR_KEY = "operator-key-of-the-demo"
SIGNING_KEY = "signing-key-of-the-demo"


def _stop_in_parallel(servers):
    threads = [threading.Thread(target=server.stop) for server in servers]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


class LocalSystem:
    """Stand-ins and entry hosts of one system on loopback.

    Parameters
    ----------
    files : list of str
        Texts of scope files. For each target a stand-in is started, and
        its address replaces that of the target.
    zones : list of str
        Availability zone of each entry host to start.
    step_seconds : float
        Duration of one batch of a stand-in engine.
    bounds : Bounds, optional
        Bounds of each entry host.
    tls : Tls, optional
        Certificate of all entry hosts; without it they use plain text.
    load_seconds : float
        Time that a stand-in engine takes to load a version.

    Attributes
    ----------
    texts : list of str
        Texts of the scope files with the addresses of the stand-ins.
    engines, services, hosts : dict
        Running stand-ins and entry hosts by name.
    """

    def __init__(
        self,
        files,
        zones,
        step_seconds=0.002,
        bounds=None,
        tls=None,
        load_seconds=0.0,
    ):
        self.key_value = KeyValueStandIn()
        self.host_list = HostListStandIn()
        self.engines = {}
        self.services = {}
        self.hosts = {}
        self._step_seconds = step_seconds
        self._tls = tls
        self._load_seconds = load_seconds
        self._bounds = bounds or Bounds(
            caller_threads=16,
            address_valid_seconds=1.0,
            leaving_margin_seconds=1.0,
        )
        self.texts = [self._start_targets(text) for text in files]
        self._zones = list(zones)

    def start(self):
        """Start the remaining stand-ins and all hosts; return the system."""
        self.key_value.start()
        self.host_list.start()
        for number, zone in enumerate(self._zones):
            self.add_host(f"entry-{number}", zone)
        return self

    def stop(self):
        """Stop all hosts and stand-ins."""
        _stop_in_parallel(self.hosts.values())
        standins = [*self.engines.values(), *self.services.values()]
        _stop_in_parallel([*standins, self.host_list, self.key_value])

    def settings(self, name, zone):
        """Return settings of an entry host that listens on free ports."""
        operator = Operator(
            name="operator", role=Role.OPERATE, key_hash=hash_key(OPERATOR_KEY)
        )
        return Settings(
            host=name,
            availability_zone=zone,
            callers_address=free_address(),
            operators_address=free_address(),
            peers_address=free_address(),
            key_value_service=[self.key_value.address],
            host_list=self.host_list.address,
            operators=[operator],
            signing_keys=[SIGNING_KEY],
            tls=self._tls,
            peer_tls=self._tls,
            plain_text_allowed=self._tls is None,
            bounds=self._bounds,
        )

    def add_host(self, name, zone):
        """Start an entry host and add it to the host list; return it."""
        settings = self.settings(name, zone)
        entry = EntryHost(settings)
        entry.start()
        self.hosts[name] = entry
        self.host_list.set(
            ListedHost(
                name=name,
                address=settings.callers_address,
                role="entry",
                availability_zone=zone,
                peers_address=settings.peers_address,
            )
        )
        return entry

    def kill_host(self, name):
        """Stop an entry host abruptly, as if its process had been killed."""
        entry = self.hosts.pop(name)
        entry.abort()
        self.host_list.remove(name)

    def replace_host(self, name):
        """Start a new entry host, then shut the old one down gracefully.

        Parameters
        ----------
        name : str
            Name of the host to replace.

        Returns
        -------
        EntryHost
            The new host.
        """
        old = self.hosts[name]
        zone = old.settings.availability_zone
        new = self.add_host(f"{name}-next", zone)
        self.wait_until(lambda: new.is_ready)
        del self.hosts[name]
        old.request_stop()
        old.wait()
        old.stop()
        self.host_list.remove(name)
        return new

    def wait_until(self, condition, seconds=10.0):
        """Poll a condition until it holds; return whether it does.

        Parameters
        ----------
        condition : callable
            Returns whether the condition holds.
        seconds : float
            Time after which to give up.
        """
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if condition():
                return True
            time.sleep(0.02)
        return False

    def _start_targets(self, text):
        """Start stand-ins for the targets of a scope file.

        Returns the text of the file with the addresses of the stand-ins.
        """
        scope_file = load_scope_file(text)
        data = msgspec.to_builtins(scope_file)
        models = {model.name: model for model in scope_file.models}
        for group, group_data in zip(
            scope_file.groups, data["groups"], strict=True
        ):
            for target, target_data in zip(
                group.targets, group_data["targets"], strict=True
            ):
                target_data["address"] = self._start_target(
                    group, target, models
                )
        return yaml.safe_dump(data, sort_keys=False)

    def _start_target(self, group, target, models):
        if group.kind is TargetKind.SERVICE:
            standin = ServiceStandIn(target.name).start()
            self.services[target.name] = standin
            return standin.address
        model = models[group.model]
        options = EngineOptions(
            name=target.name,
            model=model.name,
            version=model.serving,
            layers=model.layers,
            first=target.layers.first,
            last=target.layers.last,
            accelerator=target.accelerator or "standard",
            step_seconds=self._step_seconds,
            load_seconds=self._load_seconds,
            checks_fencing=group.fencing.value == "checked",
        )
        standin = EngineStandIn(options).start()
        self.engines[target.name] = standin
        return standin.address
