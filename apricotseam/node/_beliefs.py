"""Applies changes of store entries to configuration, targets and hosts."""

import logging

import msgspec

from apricotseam.coordination import HostRecord
from apricotseam.coordination import is_large_fleet
from apricotseam.errors import InvalidFileError
from apricotseam.platform import CONFIGURATION_KEY
from apricotseam.platform import decode_configuration
from apricotseam.platform import decode_target
from apricotseam.platform import ROUTER_PREFIX
from apricotseam.platform import target_identity
from apricotseam.platform import TARGETS_PREFIX

_LOG = logging.getLogger(__name__)

HOSTS_PREFIX = ROUTER_PREFIX + "hosts/"


class StoreItemHandler:
    """Applies every entry that changes in the local mirror of the store.

    Parameters
    ----------
    context : ForwardingContext
        Holds the route table and the fleet of targets, which are updated.
    was_store_unreachable : callable
        Returns whether the store was unreachable. A missing entry may then
        have expired only because its lease could not be renewed.
    now : callable
        Monotonic time in seconds.
    """

    def __init__(self, context, was_store_unreachable, now):
        self._context = context
        self._was_store_unreachable = was_store_unreachable
        self._now = now
        self._host_records = {}

    @property
    def host_records(self):
        """Records of the hosts that are registered in the store, by name."""
        return {
            key.removeprefix(HOSTS_PREFIX): record
            for key, record in self._host_records.items()
        }

    def count_peers(self, zone):
        """Return how many other hosts should report their usage to this one.

        In a large fleet only hosts of the same availability zone report to
        each other directly.

        Parameters
        ----------
        zone : str
            Availability zone of this host.
        """
        records = list(self._host_records.values())
        if is_large_fleet(len(records)):
            records = [r for r in records if r.zone == zone]
        return max(0, len(records) - 1)

    def apply(self, item):
        """Apply one changed `MirrorItem`."""
        if item.key == CONFIGURATION_KEY:
            self._apply_configuration(item)
        elif item.key.startswith(TARGETS_PREFIX):
            self._apply_target(item)
        elif item.key.startswith(HOSTS_PREFIX):
            self._apply_host(item)

    def _apply_configuration(self, item):
        current = self._context.table
        if item.value is None:
            _LOG.warning(
                "configuration_missing", extra={"revision": item.revision}
            )
            return
        if current is not None and current.revision >= item.revision:
            return
        try:
            table = decode_configuration(item.value, item.revision)
        except InvalidFileError as error:
            _LOG.error(
                "configuration_refused",
                extra={"revision": item.revision, "error": str(error)},
            )
            return
        self._context.table = table
        _LOG.info(
            "configuration_in_force",
            extra={"revision": table.revision, "version": table.version},
        )

    def _apply_target(self, item):
        fleet = self._context.fleet
        identity = target_identity(item.key)
        if item.value is None:
            fleet.remove(identity, self._now(), self._was_store_unreachable())
            return
        record = decode_target(item.key, item.value, item.revision)
        if record is None:
            _LOG.warning(
                "target_entry_invalid",
                extra={"key": item.key, "revision": item.revision},
            )
            fleet.remove(identity, self._now())
            return
        fleet.update(record)

    def _apply_host(self, item):
        if item.value is None:
            self._host_records.pop(item.key, None)
            return
        try:
            record = msgspec.json.decode(item.value, type=HostRecord)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            _LOG.warning(
                "host_record_refused",
                extra={"key": item.key, "error": str(error)},
            )
            return
        self._host_records[item.key] = record
