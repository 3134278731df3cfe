"""Follows the configuration: from the service, from peers, into force."""

import logging
import random
import threading

from apricotseam.config import Backoff
from apricotseam.config import CONFIGURATION
from apricotseam.config import DocumentHistory
from apricotseam.config import JoinGate
from apricotseam.config import load_document
from apricotseam.config import make_document
from apricotseam.errors import ApricotseamError
from apricotseam.errors import ServiceUnavailableError
from apricotseam.membership import reader_rank
from apricotseam.supervision import Child

_LOG = logging.getLogger(__name__)

WATCH_SECONDS = 2.0
CUT_WATCH_SECONDS = 1.0
WATCH_STEP_SECONDS = 0.1
POLL_SECONDS = 10.0
READER_CHECK_SECONDS = 1.0
FIRST_DELAY_SECONDS = 0.2
MAX_DELAY_SECONDS = 5.0
ISOLATION_SECONDS = 30.0


class _Watch:
    """One watch in a thread of its own, so that a stop need not wait."""

    __slots__ = ("_arguments", "_is_changed", "_service", "_thread")

    def __init__(self, service, key, version, deadline):
        self._service = service
        self._arguments = (key, version, deadline)
        self._is_changed = False
        self._thread = threading.Thread(
            target=self._run, name="watch", daemon=True
        )

    def wait(self, stopping):
        """Return whether a change was seen before the deadline."""
        self._thread.start()
        while self._thread.is_alive() and not stopping.is_set():
            self._thread.join(WATCH_STEP_SECONDS)
        return self._is_changed

    def _run(self):
        try:
            self._is_changed = self._service.watch(*self._arguments)
        except ApricotseamError as error:
            _LOG.debug("watch_failed", extra={"code": error.code})


class ConfigurationChild(Child):
    """Brings the highest known revision into force on this host.

    Hosts that are readers watch the service; all others learn from peers.

    Parameters
    ----------
    service : KeyValueService
        Where the root is watched.
    store : ConfigurationStore
        Where it is read.
    spread : Spread
        Exchange with peers.
    snapshots : Snapshots
        Where the configuration is put.
    clock : Clock
        Source of time.
    """

    name = "configuration"

    def __init__(self, service, store, spread, snapshots, clock):
        self._service = service
        self._store = store
        self._spread = spread
        self._snapshots = snapshots
        self._clock = clock
        self._gate = JoinGate()
        self._history = DocumentHistory(CONFIGURATION)
        self._loaded = None
        self._lock = threading.Lock()
        self._version = None
        self._next_poll = clock.monotonic()
        self._last_read = clock.monotonic()
        spread.add(self._history, store.cache, self._take)
        store.on_accepted(self._take_accepted)

    @property
    def revision(self):
        """The revision that this host has, in force or not yet."""
        return self._history.revision

    def run(self, stopping):
        """Follow the service while this host is a reader."""
        backoff = Backoff(
            FIRST_DELAY_SECONDS, MAX_DELAY_SECONDS, random.Random()
        )
        while not stopping.is_set():
            if reader_rank(self._snapshots.members) is None:
                self._version = None
                stopping.wait(READER_CHECK_SECONDS)
                continue
            try:
                self._follow_once(stopping)
                backoff.reset()
            except ApricotseamError as error:
                _LOG.warning(
                    "configuration_not_read", extra={"code": error.code}
                )
                self._version = None
                stopping.wait(backoff.next())

    def hear(self, peer, revision):
        """Take note of the revision that a peer has (control loop)."""
        self._gate.hear(peer, revision)
        self._spread.hear(peer, CONFIGURATION, revision)
        self.update()

    def update(self, last_heard=None):
        """Put the configuration into force once the host may serve."""
        with self._lock:
            peers = len(self._snapshots.members.present()) - 1
            if self._gate.update(self._history.revision, peers):
                self._snapshots.configuration = self._loaded
        self._snapshots.is_isolated = self._is_isolated(last_heard)

    def _is_isolated(self, last_heard):
        """Return whether neither the service nor any peer was heard."""
        if len(self._snapshots.members) < 2:
            return False
        heard = max(self._last_read, last_heard or 0.0)
        return self._clock.monotonic() > heard + ISOLATION_SECONDS

    def _follow_once(self, stopping):
        now = self._clock.monotonic()
        if self._version is None or now >= self._next_poll:
            self._read()
            return
        deadline = now + WATCH_SECONDS
        watch = _Watch(
            self._service, self._store.root_key, self._version, deadline
        )
        if watch.wait(stopping):
            self._read()
            return
        if stopping.is_set():
            return
        if self._clock.monotonic() < now + CUT_WATCH_SECONDS:
            raise ServiceUnavailableError(
                "the watch was cut", "check the service"
            )
        self._last_read = self._clock.monotonic()

    def _read(self):
        root, version = self._store.read_root()
        if root.revision < self._history.revision:
            raise ServiceUnavailableError(
                f"a stale read of revision {root.revision}",
                "check the service's data",
            )
        self._offer(root)
        self._version = version
        now = self._clock.monotonic()
        self._next_poll = now + POLL_SECONDS
        self._last_read = now
        self._gate.confirm(root.revision)
        self.update()

    def _offer(self, root):
        document = make_document(root)
        self._store.fetch(document.references)
        if root.revision and not self._spread.offer(document):
            raise ServiceUnavailableError(
                "a chunk was dropped while it was read", "read again"
            )

    def _take_accepted(self, root):
        """Take a root that an operator's call on this host wrote."""
        try:
            self._offer(root)
        except (ApricotseamError, TimeoutError):
            _LOG.warning(
                "accepted_revision_not_taken",
                extra={"revision": root.revision},
            )

    def _take(self, document):
        self._loaded = load_document(document, self._store.cache, self._loaded)
        _LOG.info("configuration_taken", extra={"revision": document.revision})
        self.update()
