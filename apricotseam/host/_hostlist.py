"""Reads the host list on few hosts and distributes it to all others."""

import logging
import random

import msgspec

from apricotseam.config import Backoff
from apricotseam.config import ChunkCache
from apricotseam.config import Document
from apricotseam.config import DocumentHistory
from apricotseam.config import make_reference
from apricotseam.config import split_text
from apricotseam.errors import ApricotseamError
from apricotseam.external import ListedHost
from apricotseam.host._hostlistmerger import HostListMerger
from apricotseam.membership import reader_rank
from apricotseam.supervision import Child

_LOG = logging.getLogger(__name__)

# Kind of the replicated document that holds the host list.
HOSTS = "hosts"
READ_PERIOD_SECONDS = 0.5
# A reader waits this long, times its rank, before it publishes a difference.
RANK_DELAY_SECONDS = 1.0
READER_CHECK_PERIOD_SECONDS = 1.0
MAX_RETRY_DELAY_SECONDS = 5.0
MS_PER_SECOND = 1000


class HostListChild(Child):
    """Reads the host list and publishes its changes to peers.

    The reader of the lowest rank publishes a difference at once, the others
    only if it persists. A host that knows no peer yet reads the list itself,
    to find seeds.

    Parameters
    ----------
    host_list : HostList
        The platform's host list.
    replicator : DocumentReplicator
        Exchanges documents with peers.
    snapshots : Snapshots
        Receives the listed hosts.
    membership : MembershipChild
        Receives the peer addresses of the list as seeds.
    clock : Clock
        Source of time.
    """

    name = "host-list"

    def __init__(self, host_list, replicator, snapshots, membership, clock):
        self._host_list = host_list
        self._replicator = replicator
        self._snapshots = snapshots
        self._membership = membership
        self._clock = clock
        self._cache = ChunkCache()
        self._history = DocumentHistory(HOSTS)
        self._merger = HostListMerger()
        self._hosts = []
        self._differs_since = None
        replicator.add(self._history, self._cache, self._apply_document)

    @property
    def revision(self):
        """Revision of the host list that this host has."""
        return self._history.revision

    def run(self, stopping):
        """Read the list while this host is a reader."""
        backoff = Backoff(
            READ_PERIOD_SECONDS, MAX_RETRY_DELAY_SECONDS, random.Random()
        )
        while not stopping.is_set():
            members = self._snapshots.members
            rank = reader_rank(members)
            if rank is None and self._history.revision:
                stopping.wait(READER_CHECK_PERIOD_SECONDS)
                continue
            try:
                self._read(rank or 0)
                backoff.reset()
                stopping.wait(READ_PERIOD_SECONDS)
            except ApricotseamError as error:
                _LOG.warning("host_list_not_read", extra={"code": error.code})
                stopping.wait(backoff.next())

    def _read(self, rank):
        reading = self._host_list.read()
        now = self._clock.monotonic()
        hosts = self._merger.update(reading, now)
        self._membership.set_seeds(
            host.peers_address for host in hosts if host.peers_address
        )
        if hosts == self._hosts:
            self._differs_since = None
            return
        if self._differs_since is None:
            self._differs_since = now
        if now >= self._differs_since + rank * RANK_DELAY_SECONDS:
            self._publish(hosts)

    def _publish(self, hosts):
        body = b"\n".join(map(msgspec.json.encode, hosts))
        references = []
        for chunk in split_text(body):
            reference = make_reference(chunk, HOSTS)
            self._cache.put(reference, chunk)
            references.append(reference)
        wall_ms = int(self._clock.wall() * MS_PER_SECOND)
        document = Document(
            kind=HOSTS,
            revision=max(wall_ms, self._history.revision + 1),
            parts={HOSTS: references},
        )
        if self._replicator.publish(document):
            self._differs_since = None

    def _apply_document(self, document):
        body = b"".join(map(self._cache.get, document.references))
        hosts = [
            msgspec.json.decode(line, type=ListedHost)
            for line in body.splitlines()
        ]
        self._hosts = hosts
        self._merger.adopt(hosts, self._clock.monotonic())
        self._snapshots.listed_hosts = {host.address: host for host in hosts}
