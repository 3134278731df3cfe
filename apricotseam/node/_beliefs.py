"""Turns items of the store into configuration, targets and hosts."""

import logging

import msgspec

from apricotseam.coordination import HostRecord
from apricotseam.coordination import is_large_fleet
from apricotseam.errors import InvalidFileError
from apricotseam.platform import CONFIGURATION_KEY
from apricotseam.platform import decode_configuration
from apricotseam.platform import decode_target
from apricotseam.platform import OWN_PREFIX
from apricotseam.platform import target_identity
from apricotseam.platform import TARGETS_PREFIX

_LOG = logging.getLogger(__name__)

HOSTS_PREFIX = OWN_PREFIX + "hosts/"


class Beliefs:
    """Takes each change of the mirror.

    Parameters
    ----------
    scene : Scene
        Where configuration and targets are kept.
    was_store_away : callable
        Whether entries may have lapsed in an outage of the store.
    now : callable
        Monotonic time in seconds.
    """

    def __init__(self, scene, was_store_away, now):
        self._scene = scene
        self._was_store_away = was_store_away
        self._now = now
        self._hosts = {}

    @property
    def peer_addresses(self):
        """Peers' addresses of the hosts that registered."""
        return [record.peers_address for record in self._hosts.values()]

    def count_peers(self, zone):
        """Return how many other hosts' usage should come to this one.

        Parameters
        ----------
        zone : str
            Availability zone of this host.
        """
        records = list(self._hosts.values())
        if is_large_fleet(len(records)):
            records = [r for r in records if r.zone == zone]
        return max(0, len(records) - 1)

    def take(self, item):
        """Take one `MirrorItem`."""
        if item.key == CONFIGURATION_KEY:
            self._take_configuration(item)
        elif item.key.startswith(TARGETS_PREFIX):
            self._take_target(item)
        elif item.key.startswith(HOSTS_PREFIX):
            self._take_host(item)

    def _take_configuration(self, item):
        known = self._scene.table
        if item.value is None:
            _LOG.warning(
                "configuration_missing", extra={"revision": item.revision}
            )
            return
        if known is not None and known.revision >= item.revision:
            return
        try:
            table = decode_configuration(item.value, item.revision)
        except InvalidFileError as error:
            _LOG.error(
                "configuration_refused",
                extra={"revision": item.revision, "error": str(error)},
            )
            return
        self._scene.table = table
        _LOG.info(
            "configuration_in_force",
            extra={"revision": table.revision, "version": table.version},
        )

    def _take_target(self, item):
        fleet = self._scene.fleet
        identity = target_identity(item.key)
        if item.value is None:
            fleet.remove(identity, self._now(), self._was_store_away())
            return
        record = decode_target(item.key, item.value, item.revision)
        if record is None:
            _LOG.warning(
                "entry_names_no_target",
                extra={"key": item.key, "revision": item.revision},
            )
            fleet.remove(identity, self._now())
            return
        fleet.update(record)

    def _take_host(self, item):
        if item.value is None:
            self._hosts.pop(item.key, None)
            return
        try:
            record = msgspec.json.decode(item.value, type=HostRecord)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            _LOG.warning(
                "host_record_refused",
                extra={"key": item.key, "error": str(error)},
            )
            return
        self._hosts[item.key] = record
