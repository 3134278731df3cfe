"""Reads the configuration from the key-value service or from peers."""

import logging
import random
import threading

from apricotseam.config import Backoff
from apricotseam.config import CONFIGURATION
from apricotseam.config import DocumentHistory
from apricotseam.config import load_document
from apricotseam.config import make_document
from apricotseam.config import StartupGate
from apricotseam.errors import ApricotseamError
from apricotseam.errors import ServiceUnavailableError
from apricotseam.membership import reader_rank
from apricotseam.supervision import Child

_LOG = logging.getLogger(__name__)

# A watch without a change ends after this time.
MAX_WATCH_SECONDS = 2.0
# A watch without a change that ends earlier than this was cut off.
MIN_WATCH_SECONDS = 1.0
# Period of the check for a stop while a watch is open.
STOP_CHECK_SECONDS = 0.1
# The root is read this often even if watches report no change.
POLL_PERIOD_SECONDS = 10.0
# Period of the check whether this host has become a reader.
READER_CHECK_PERIOD_SECONDS = 1.0
MIN_RETRY_DELAY_SECONDS = 0.2
MAX_RETRY_DELAY_SECONDS = 5.0
# A host that reached neither service nor peers for this long is isolated.
ISOLATED_AFTER_SECONDS = 30.0


class _WatchThread:
    """Runs one watch in a thread, so that a stop need not wait for it."""

    __slots__ = ("_arguments", "_is_changed", "_service", "_thread")

    def __init__(self, service, key, version, deadline):
        self._service = service
        self._arguments = (key, version, deadline)
        self._is_changed = False
        self._thread = threading.Thread(
            target=self._run, name="watch", daemon=True
        )

    def wait(self, stopping):
        """Return whether a change was seen before deadline or stop."""
        self._thread.start()
        while self._thread.is_alive() and not stopping.is_set():
            self._thread.join(STOP_CHECK_SECONDS)
        return self._is_changed

    def _run(self):
        try:
            self._is_changed = self._service.watch(*self._arguments)
        except ApricotseamError as error:
            _LOG.debug("watch_failed", extra={"code": error.code})


class ConfigurationChild(Child):
    """Activates the highest known revision of the configuration.

    A few hosts, the readers, watch the key-value service; all others get
    new revisions from peers.

    Parameters
    ----------
    service : KeyValueService
        Key-value service that is watched for changes of the root.
    store : ConfigurationStore
        Reads root and chunks from the service.
    replicator : DocumentReplicator
        Exchanges documents with peers.
    snapshots : Snapshots
        Receives the active configuration.
    clock : Clock
        Source of time.
    """

    name = "configuration"

    def __init__(self, service, store, replicator, snapshots, clock):
        self._service = service
        self._store = store
        self._replicator = replicator
        self._snapshots = snapshots
        self._clock = clock
        self._join_gate = StartupGate()
        self._history = DocumentHistory(CONFIGURATION)
        self._configuration = None
        self._lock = threading.Lock()
        self._root_version = None
        self._next_poll = clock.monotonic()
        self._last_read = clock.monotonic()
        self._last_peer_contact = 0.0
        replicator.add(self._history, store.cache, self._load_document)
        store.on_accepted(self._on_root_accepted)

    @property
    def revision(self):
        """Latest revision that this host has, active or not yet."""
        return self._history.revision

    def run(self, stopping):
        """Watch the service while this host is a reader."""
        backoff = Backoff(
            MIN_RETRY_DELAY_SECONDS, MAX_RETRY_DELAY_SECONDS, random.Random()
        )
        while not stopping.is_set():
            if reader_rank(self._snapshots.members) is None:
                self._root_version = None
                stopping.wait(READER_CHECK_PERIOD_SECONDS)
                continue
            try:
                self._check_service(stopping)
                backoff.reset()
            except ApricotseamError as error:
                _LOG.warning(
                    "configuration_not_read", extra={"code": error.code}
                )
                self._root_version = None
                stopping.wait(backoff.next())

    def handle_peer_revision(self, peer, revision):
        """Handle the revision that a peer has; runs on the control loop."""
        self._join_gate.record_peer_revision(peer, revision)
        self._replicator.record_peer_revision(peer, CONFIGURATION, revision)
        self.update()

    def update(self, last_peer_contact=None):
        """Activate the configuration once this host may serve.

        Also updates whether this host is isolated.

        Parameters
        ----------
        last_peer_contact : float, optional
            Monotonic time in seconds at which a peer was last heard from;
            by default that of the last call.
        """
        if last_peer_contact is not None:
            self._last_peer_contact = last_peer_contact
        with self._lock:
            peer_count = len(self._snapshots.members.present()) - 1
            if self._join_gate.update(self._history.revision, peer_count):
                self._snapshots.configuration = self._configuration
        self._snapshots.is_isolated = self._is_isolated()

    def _is_isolated(self):
        """Return whether neither service nor peers were reached recently."""
        if len(self._snapshots.members) < 2:
            return False
        last_contact = max(self._last_read, self._last_peer_contact)
        return self._clock.monotonic() > last_contact + ISOLATED_AFTER_SECONDS

    def _check_service(self, stopping):
        now = self._clock.monotonic()
        if self._root_version is None or now >= self._next_poll:
            self._read()
            return
        deadline = now + MAX_WATCH_SECONDS
        watch = _WatchThread(
            self._service, self._store.root_key, self._root_version, deadline
        )
        if watch.wait(stopping):
            self._read()
            return
        if stopping.is_set():
            return
        if self._clock.monotonic() < now + MIN_WATCH_SECONDS:
            raise ServiceUnavailableError(
                "watch of the configuration ended early",
                "check the key-value service",
            )
        self._last_read = self._clock.monotonic()

    def _read(self):
        root, version = self._store.read_root()
        if root.revision < self._history.revision:
            raise ServiceUnavailableError(
                f"stale read of configuration revision {root.revision}",
                "check the data of the key-value service",
            )
        self._publish_root(root)
        self._root_version = version
        now = self._clock.monotonic()
        self._next_poll = now + POLL_PERIOD_SECONDS
        self._last_read = now
        self._join_gate.record_service_revision(root.revision)
        self.update()

    def _publish_root(self, root):
        document = make_document(root)
        self._store.fetch(document.references)
        if root.revision and not self._replicator.publish(document):
            raise ServiceUnavailableError(
                "a chunk was dropped from the cache during the read",
                "read again",
            )

    def _on_root_accepted(self, root):
        """Publish a root that an operator wrote through this host."""
        try:
            self._publish_root(root)
        except (ApricotseamError, TimeoutError):
            _LOG.warning(
                "accepted_revision_not_taken",
                extra={"revision": root.revision},
            )

    def _load_document(self, document):
        self._configuration = load_document(
            document, self._store.cache, self._configuration
        )
        _LOG.info("configuration_taken", extra={"revision": document.revision})
        self.update()
