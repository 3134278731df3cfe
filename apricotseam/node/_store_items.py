"""Applies changes of store entries to configuration, targets and hosts."""

import collections
import logging

from apricotseam.coordination import decode_host_record
from apricotseam.coordination import is_large_fleet
from apricotseam.errors import InvalidFileError
from apricotseam.errors import InvalidInputError
from apricotseam.fleet import is_outdated
from apricotseam.node._held import HeldEntries
from apricotseam.platform import CONFIGURATION_KEY
from apricotseam.platform import decode_configuration
from apricotseam.platform import decode_target
from apricotseam.platform import ROUTER_PREFIX
from apricotseam.platform import target_identity
from apricotseam.platform import TARGETS_PREFIX
from apricotseam.positions import NO_POSITION

_LOG = logging.getLogger(__name__)

HOSTS_PREFIX = ROUTER_PREFIX + "hosts/"
# Number of keys of each kind that a log line about a change of era names.
MAX_LOGGED_KEYS = 20


class StoreItemHandler:
    """Applies every entry that changes in the local mirror of the store.

    After the store went back, entries in an earlier state than the one that
    this host acts on are held until their writers have written them again. An
    older configuration never replaces the one in force.

    Parameters
    ----------
    context : ForwardingContext
        Holds the route table and the fleet of targets, which are updated.
    was_store_unreachable : callable
        Returns whether the store was unreachable. A missing entry may then
        have expired only because its lease could not be renewed.
    now : callable
        Monotonic time in seconds.
    era_events : collections.Counter, optional
        Counts the entries that are held, and that are applied in the end.
    """

    def __init__(self, context, was_store_unreachable, now, era_events=None):
        self._era_events = (
            collections.Counter() if era_events is None else era_events
        )
        self._held = HeldEntries(now)
        # Entries by key whose service no configuration names yet.
        self._unnamed = {}
        # Position and value of the configuration in force.
        self._configuration_position = NO_POSITION
        self._configuration_value = None
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
        self._held.notice(item.position)
        if item.key == CONFIGURATION_KEY:
            self._apply_configuration(item)
        elif item.key.startswith(TARGETS_PREFIX):
            self._apply_target(item)
        elif item.key.startswith(HOSTS_PREFIX):
            self._apply_host(item)

    def expire(self):
        """Apply the entries that were held for long enough."""
        for item in self._held.take_due():
            self._era_events["held_applied"] += 1
            _LOG.warning("held_entry_applied", extra={"key": item.key})
            self.apply(item)

    def log_era_change(self, change):
        """Log how an `EraChange` of the mirror was applied."""
        _LOG.warning(
            "store_era_changed",
            extra={
                "old": str(change.old),
                "new": str(change.new),
                "lost": len(change.lost),
                "lost_keys": change.lost[:MAX_LOGGED_KEYS],
                "older": len(change.older),
                "older_keys": change.older[:MAX_LOGGED_KEYS],
                "kept": self._kept(change),
            },
        )

    def _kept(self, change):
        """Return what stays in force against the store, with the reasons."""
        kept = dict(self._held.causes)
        for key in change.lost:
            target = key.startswith(TARGETS_PREFIX) and (
                self._context.fleet.get(target_identity(key))
            )
            if target:
                kept[key] = "may be written again shortly"
            elif key == CONFIGURATION_KEY:
                kept[key] = "the last one stays in force"
        return kept

    def _hold(self, item, cause, lapses=True):
        self._era_events["held"] += 1
        self._held.hold(item, cause, lapses)

    def _apply_configuration(self, item):
        if item.value is None:
            self._held.drop(item.key)
            _LOG.warning(
                "configuration_missing", extra={"revision": item.position}
            )
            return
        known = self._configuration_position
        if item.position <= known:
            return
        is_of_later_era = item.position.era > known.era
        if is_of_later_era and item.value == self._configuration_value:
            self._held.drop(item.key)
            self._configuration_position = item.position
            return
        try:
            table = decode_configuration(item.value, item.position)
        except InvalidFileError as error:
            _LOG.error(
                "configuration_refused",
                extra={"revision": item.position, "error": str(error)},
            )
            return
        current = self._context.table
        if is_of_later_era and _is_older_version(table, current):
            cause = f"version {current.version} is in force"
            self._hold(item, cause, lapses=False)
            _LOG.warning(
                "older_configuration_held",
                extra={
                    "revision": item.position,
                    "version": table.version,
                    "in_force": current.version,
                },
            )
            return
        self._held.drop(item.key)
        self._configuration_position = item.position
        self._configuration_value = item.value
        self._context.table = table
        _LOG.info(
            "configuration_in_force",
            extra={
                "era": item.position.era,
                "revision": item.position.revision,
                "version": table.version,
            },
        )
        self._apply_named_targets()

    def _apply_named_targets(self):
        """Apply the entries of targets whose services are named now."""
        unnamed, self._unnamed = self._unnamed, {}
        for item in unnamed.values():
            self._apply_target(item)

    def _apply_target(self, item):
        fleet = self._context.fleet
        identity = target_identity(item.key)
        fleet.advance(item.position)
        self._unnamed.pop(item.key, None)
        if item.value is None:
            was_lost = self._is_lost(identity, item)
            may_return = was_lost or self._was_store_unreachable()
            self._held.drop(item.key)
            fleet.remove(identity, self._now(), may_return, was_lost)
            return
        record = decode_target(item.key, item.value, item.position)
        if record is None:
            self._held.drop(item.key)
            _LOG.warning(
                "target_entry_invalid",
                extra={"key": item.key, "revision": item.position},
            )
            fleet.remove(identity, self._now())
            return
        if not self._is_named(record):
            self._unnamed[item.key] = item
            _LOG.warning(
                "target_service_unknown",
                extra={"key": item.key, "service": record.service},
            )
            return
        cause = self._cause_to_hold(record)
        if cause:
            self._hold(item, cause)
            return
        self._held.drop(item.key)
        fleet.update(record)

    def _is_named(self, record):
        """Return whether a target may be used, now or as it was before.

        Another program may write an entry with the address of a target that
        is used, which must not take its place.
        """
        table = self._context.table
        if table is None or self._context.fleet.get(record.identity):
            return True
        return record.service in table.services

    def _is_lost(self, identity, item):
        """Return whether the store went back to a state without a target.

        If an entry is held, the target was in that state and has left.
        """
        target = self._context.fleet.get(identity)
        if target is None or item.key in self._held:
            return False
        return target.record.position.era < item.position.era

    def _cause_to_hold(self, record):
        """Return why a target's entry is not applied yet, "" if it is."""
        fleet = self._context.fleet
        present = fleet.get(record.identity)
        removed = fleet.removed(record.identity)
        last = present or removed
        if last is None or not self._held.is_open:
            return ""
        known = last.record
        if known.position.era >= record.position.era:
            return ""
        has_left = present is None and removed.has_left
        if not is_outdated(record, known, has_left):
            return ""
        if has_left:
            return "the target is gone"
        if known.is_draining and not record.is_draining:
            return "the target is draining"
        return "a later state is known"

    def _apply_host(self, item):
        if item.value is None:
            self._host_records.pop(item.key, None)
            return
        try:
            record = decode_host_record(item.value)
        except InvalidInputError as error:
            _LOG.warning(
                "host_record_refused",
                extra={"key": item.key, "error": str(error)},
            )
            return
        self._host_records[item.key] = record


def _is_older_version(table, current):
    """Return whether a configuration was in force before the current one."""
    return current is not None and table.version < current.version
