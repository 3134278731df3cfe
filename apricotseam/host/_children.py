"""Children of the supervisor tree that keep the snapshots fresh."""

import logging

from apricotseam.config import load_configuration
from apricotseam.errors import ApricotseamError
from apricotseam.routing import TargetMerger
from apricotseam.supervision import Child

_LOG = logging.getLogger(__name__)

CONFIGURATION_PERIOD_SECONDS = 0.5
TARGETS_PERIOD_SECONDS = 0.5


class ListenerChild(Child):
    """Serves one HTTP listener.

    Parameters
    ----------
    name : str
        Name in the log.
    listener : Listener
        The listener to start and stop.
    """

    def __init__(self, name, listener):
        self.name = name
        self._listener = listener

    def start(self):
        """Bind the address."""
        self._listener.start()

    def run(self, stopping):
        """Wait for the end; the listener has its own threads."""
        stopping.wait()

    def stop(self):
        """Close the address."""
        self._listener.stop()


class PeersChild(Child):
    """Runs the control loop and the transport between hosts.

    Parameters
    ----------
    loop : ControlLoop
        Loop of the control path.
    transport : PeerTransport
        Messages between hosts.
    """

    name = "peers"

    def __init__(self, loop, transport):
        self._loop = loop
        self._transport = transport

    def start(self):
        """Start the loop and listen."""
        self._loop.start()
        self._transport.start()

    def run(self, stopping):
        """Wait for the end; the loop has its own thread."""
        stopping.wait()

    def stop(self):
        """Close the listener and end the loop."""
        self._transport.stop()
        self._loop.stop()


class ConfigurationChild(Child):
    """Follows the configuration root in the key-value service.

    Parameters
    ----------
    store : ConfigurationStore
        Where the root is read.
    snapshots : Snapshots
        Where the configuration is put.
    """

    name = "configuration"

    def __init__(self, store, snapshots):
        self._store = store
        self._snapshots = snapshots

    def run(self, stopping):
        """Read the root until told to stop."""
        while not stopping.is_set():
            try:
                self.refresh()
            except ApricotseamError as error:
                _LOG.warning(
                    "configuration_not_read", extra={"code": error.code}
                )
            stopping.wait(CONFIGURATION_PERIOD_SECONDS)

    def refresh(self):
        """Take the root if it is of a higher revision than what is here."""
        root, _ = self._store.read_root()
        current = self._snapshots.configuration
        if current is not None and root.revision <= current.revision:
            return
        if root.revision == 0:
            return
        self._snapshots.configuration = load_configuration(self._store, root)
        _LOG.info("configuration_taken", extra={"revision": root.revision})


class TargetsChild(Child):
    """Keeps the target table from files, host list and reports.

    Parameters
    ----------
    host_list : HostList
        The platform's host list.
    engine : ModelEngine
        Gives the engines' reports.
    snapshots : Snapshots
        Where the table is put.
    membership : MembershipChild
        Takes the peers' addresses of the list as seeds.
    watched : callable
        Returns the targets of a table whose reports this host needs.
    plans : ChainPlans
        Plans to compute again when targets change.
    """

    name = "targets"

    def __init__(
        self, host_list, engine, snapshots, membership, watched, plans
    ):
        self._membership = membership
        self._host_list = host_list
        self._engine = engine
        self._snapshots = snapshots
        self._watched = watched
        self._plans = plans
        self._reports = {}
        self._merger = TargetMerger()

    def run(self, stopping):
        """Read the sources until told to stop."""
        while not stopping.is_set():
            self.refresh()
            stopping.wait(TARGETS_PERIOD_SECONDS)

    def refresh(self):
        """Read all sources once and swap the table."""
        try:
            hosts = self._host_list.read()
            self._snapshots.listed = {host.address: host for host in hosts}
            self._membership.set_seeds(
                host.peers_address for host in hosts if host.peers_address
            )
        except ApricotseamError as error:
            _LOG.warning("host_list_not_read", extra={"code": error.code})
        configuration = self._snapshots.configuration
        if configuration is None:
            return
        self._swap(configuration)
        for target in self._watched(self._snapshots.targets):
            if target.kind.value == "engine":
                self._read_report(target.address)
        self._swap(configuration)
        table = self._snapshots.targets
        self._plans.refresh(configuration, table, self._watched(table))

    def _swap(self, configuration):
        self._snapshots.targets = self._merger.merge(
            configuration, self._snapshots.listed, self._reports
        )

    def _read_report(self, address):
        try:
            self._reports[address] = self._engine.report(address, None)
        except ApricotseamError:
            self._reports.pop(address, None)
