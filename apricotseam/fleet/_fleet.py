"""All targets that a host knows, by identity."""

import collections
import logging

from apricotseam.fleet._target import Target

_LOG = logging.getLogger(__name__)

# Entries that lapsed while the store was away come back within this time.
RETURN_SECONDS = 2.0


class Fleet:
    """Table of targets.

    Parameters
    ----------
    on_end : callable, optional
        Called with each `Target` whose process is gone or replaced.
    on_drain : callable, optional
        Called with each `Target` that begins to leave.
    """

    def __init__(self, on_end=None, on_drain=None):
        self._targets = {}
        self._by_service = collections.defaultdict(dict)
        self._by_address = {}
        self._on_end = on_end or (lambda target: None)
        self._on_drain = on_drain or (lambda target: None)
        self.changes = 0

    def __iter__(self):
        return iter(list(self._targets.values()))

    def __len__(self):
        return len(self._targets)

    def get(self, identity):
        """Return a target by its identity, or None."""
        return self._targets.get(identity)

    def at(self, address):
        """Return the newest target at an address, or None."""
        return self._by_address.get(address)

    def of_service(self, service):
        """Return the targets of a service that may get new work."""
        found = self._by_service.get(service, {})
        return [t for t in found.values() if t.takes_work]

    def update(self, record):
        """Take a target's record.

        Parameters
        ----------
        record : TargetRecord
            The newest one of its identity.
        """
        self.changes += 1
        known = self._targets.get(record.identity)
        if known is not None and known.incarnation == record.incarnation:
            was_working = known.takes_work
            self._log_change(known.record, record)
            self._unlink(known)
            known.record = record
            known.held_until = None
            known.is_present = True
            self._link(known)
            if was_working and not known.takes_work:
                self._on_drain(known)
            return
        if known is not None:
            self._end(known, "replaced")
        if self._is_outdated(record):
            return
        _LOG.info(
            "target_found",
            extra={
                "target": record.identity,
                "address": record.address,
                "zone": record.zone,
                "kind": record.kind,
                "revision": record.revision,
                "born_ms": record.born_ms,
            },
        )
        self._link(Target(record))

    def _is_outdated(self, record):
        """Settle which of two targets has an address; the newer one has.

        The entry of a process that is gone may stay for some seconds after
        another one has started at its address.
        """
        other = self._by_address.get(record.address)
        if other is None or other.identity == record.identity:
            return False
        if other.record.revision > record.revision:
            return True
        self._end(other, "another target has its address")
        return False

    def remove(self, identity, now, was_store_away=False):
        """Take that a target's entry is gone.

        Parameters
        ----------
        identity : str
            The target.
        now : float
            Monotonic time in seconds.
        was_store_away : bool
            Whether the store was out of reach just before, so that a
            living target's entry may only have lapsed.
        """
        target = self._targets.get(identity)
        if target is None:
            return
        self.changes += 1
        if was_store_away and not target.record.is_draining:
            target.held_until = now + RETURN_SECONDS
            return
        self._end(target, "entry removed")

    def expire(self, now):
        """End the targets whose entries did not come back in time."""
        for target in self:
            if target.held_until is not None and now >= target.held_until:
                self.changes += 1
                self._end(target, "entry did not return")

    def _link(self, target):
        record = target.record
        self._targets[record.identity] = target
        self._by_service[record.service][record.identity] = target
        self._by_address[record.address] = target

    def _unlink(self, target):
        record = target.record
        self._targets.pop(record.identity, None)
        self._by_service[record.service].pop(record.identity, None)
        if self._by_address.get(record.address) is target:
            del self._by_address[record.address]

    def _end(self, target, cause):
        target.is_present = False
        self._unlink(target)
        _LOG.info(
            "target_gone", extra={"target": target.identity, "cause": cause}
        )
        self._on_end(target)

    def _log_change(self, old, new):
        if old.is_draining != new.is_draining or old.layers != new.layers:
            _LOG.info(
                "target_changed",
                extra={
                    "target": new.identity,
                    "is_draining": new.is_draining,
                    "layers": _text(new.layers),
                    "revision": new.revision,
                },
            )


def _text(layers):
    return f"{layers.first}-{layers.last}" if layers else ""
