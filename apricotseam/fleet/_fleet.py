"""Table of the targets that a host knows."""

import collections
import logging

import msgspec

from apricotseam.fleet._announcements import Announcements
from apricotseam.fleet._announcements import AnnouncementSource
from apricotseam.fleet._target import Target
from apricotseam.fleet._target import TargetRecord
from apricotseam.positions import NO_POSITION

_LOG = logging.getLogger(__name__)

# Targets whose entries expired while the store was unreachable register again
# within this time. One that has left serves on for little longer.
REMOVAL_GRACE_SECONDS = 1.8
# Processes whose announcements are kept, also while they are not listed.
MAX_REMEMBERED_PROCESSES = 1000
# Number of removed targets whose records are remembered, so that entries of a
# store that went back do not bring them back.
MAX_REMOVED_RECORDS = 1024


class RemovedTarget(msgspec.Struct, frozen=True):
    """Last record of a target that was removed.

    If ``has_left`` is set, the record has the position of the store at the
    removal, and the same state at a later one is outdated. It is not set for
    a draining target whose record the store lost when it went back.
    """

    record: TargetRecord
    has_left: bool


class Fleet:
    """Table of targets by identity, service and address.

    Parameters
    ----------
    on_end : callable, optional
        Called with each `Target` that was removed or replaced.
    on_drain : callable, optional
        Called with each `Target` that starts draining.
    """

    def __init__(self, on_end=None, on_drain=None):
        self._targets = {}
        self._by_service = collections.defaultdict(dict)
        self._by_address = {}
        # `Announcements` by incarnation, the oldest first.
        self._announcements = collections.OrderedDict()
        self._removed = collections.OrderedDict()
        self._position = NO_POSITION
        self._on_end = on_end or (lambda target: None)
        self._on_drain = on_drain or (lambda target: None)
        # Called with the identity under which another process has started.
        self.on_restart = lambda identity: None
        # Called with the time at which `expire` has to be called.
        self.on_removal_due = lambda at: None
        # Called with each `Target` whose process was not known before.
        self.on_new = lambda target: None
        # Number of changes so far; readers compare it to detect new ones.
        self.changes = 0

    def __iter__(self):
        return iter(list(self._targets.values()))

    def __len__(self):
        return len(self._targets)

    def get(self, identity):
        """Return the target with an identity, or None."""
        return self._targets.get(identity)

    def at(self, address):
        """Return the newest target at an address, or None."""
        return self._by_address.get(address)

    def removed(self, identity):
        """Return the `RemovedTarget` of an identity, or None."""
        return self._removed.get(identity)

    def advance(self, position):
        """Record that the store has reached a position."""
        self._position = max(self._position, position)

    def of_service(self, service):
        """Return the targets of a service that accept new requests."""
        found = self._by_service.get(service, {})
        return [t for t in found.values() if t.accepts_requests]

    def update(self, record):
        """Add a target or update it from its record.

        Parameters
        ----------
        record : TargetRecord
            The newest record of its identity.
        """
        self.changes += 1
        known = self._targets.get(record.identity)
        if known is not None and known.incarnation == record.incarnation:
            accepted_requests = known.accepts_requests
            self._log_change(known.record, record)
            self._unlink(known)
            known.record = record
            known.removal_due_at = None
            known.is_present = True
            self._link(known)
            if accepted_requests and not known.accepts_requests:
                _log_leaving(known.identity, AnnouncementSource.STORE, 0.0)
                self._on_drain(known)
            return
        if known is not None:
            known.is_replaced = True
            self._remove_target(known, "replaced")
        if self._is_superseded(record):
            return
        _LOG.info(
            "target_found",
            extra={
                "target": record.identity,
                "address": record.address,
                "zone": record.zone,
                "kind": record.kind,
                "era": record.position.era,
                "revision": record.position.revision,
                "born_ms": record.born_ms,
            },
        )
        former = self._removed.pop(record.identity, None)
        announcements = self._announcements.get(record.incarnation)
        target = Target(record, announcements)
        self._link(target)
        is_same = former and former.record.incarnation == record.incarnation
        if former and not is_same:
            self.on_restart(record.identity)
        if not is_same:
            self.on_new(target)

    def record_leaving(self, incarnation, source, now, age_seconds=0.0):
        """Record that a target process announced that it leaves.

        It holds for this process, whatever its record says later, also if
        the process is not listed yet or listed again.

        Parameters
        ----------
        incarnation : tuple
            `Target.incarnation` of the process.
        source : AnnouncementSource
            Where this host learned it.
        now : float
            Monotonic time in seconds.
        age_seconds : float
            Time since the announcement, as far as known.

        Returns
        -------
        bool
            Whether it was not known before.
        """
        announcements = self._find_announcements(incarnation)
        if announcements.is_leaving:
            return False
        target = self._find_process(incarnation)
        accepted_requests = target is not None and target.accepts_requests
        announcements.record_leaving(source, now - age_seconds)
        _log_leaving(incarnation[0], source, age_seconds)
        if target is not None:
            self.changes += 1
        if accepted_requests:
            self._on_drain(target)
        return True

    def record_rest(self, incarnation, seconds, now):
        """Record that a process wants no requests from this host.

        Parameters
        ----------
        incarnation : tuple
            `Target.incarnation` of the process.
        seconds : float
            How long it wants none; see `Announcements.record_rest`.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        float or None
            Monotonic time in seconds at which its rest ends, None if that
            was known before.
        """
        announcements = self._find_announcements(incarnation)
        was_resting = announcements.is_resting(now)
        if not announcements.record_rest(seconds, now):
            return None
        if not was_resting:
            _LOG.info(
                "target_resting",
                extra={
                    "target": incarnation[0],
                    "source": str(AnnouncementSource.OWN_ANSWER),
                    "age_seconds": 0.0,
                    "seconds": round(announcements.rests_until - now, 3),
                },
            )
        return announcements.rests_until

    def record_limit(self, incarnation, requests_per_second, source, heard_at):
        """Record the rate of requests that a process accepts.

        Parameters
        ----------
        incarnation : tuple
            `Target.incarnation` of the process.
        requests_per_second : float or None
            Rate from all hosts together; None if an answer states none.
        source : AnnouncementSource
            Where this host learned it.
        heard_at : float
            Monotonic time in seconds at which the answer was read.

        Returns
        -------
        bool
            Whether the rate changed.
        """
        if requests_per_second is None:
            if incarnation not in self._announcements:
                return False
        announcements = self._find_announcements(incarnation)
        if not announcements.record_limit(
            requests_per_second, source, heard_at
        ):
            return False
        _LOG.info(
            "target_limit",
            extra={
                "target": incarnation[0],
                "requests_per_second": requests_per_second,
                "source": str(source),
            },
        )
        return True

    def _find_process(self, incarnation):
        """Return the target with an incarnation, or None."""
        target = self._targets.get(incarnation[0])
        if target is None or target.incarnation != incarnation:
            return None
        return target

    def _find_announcements(self, incarnation):
        """Return the announcements of a process, which are kept from now."""
        known = self._announcements.get(incarnation)
        if known is not None:
            return known
        target = self._find_process(incarnation)
        known = target.announcements if target else Announcements()
        self._announcements[incarnation] = known
        if len(self._announcements) > MAX_REMEMBERED_PROCESSES:
            self._announcements.popitem(last=False)
        return known

    def _is_superseded(self, record):
        """Return whether a newer target has the address of a record.

        If the record is the newer one, the older target is removed. The
        entry of a terminated process may remain in the store for some
        seconds after another process has started at its address.
        """
        other = self._by_address.get(record.address)
        if other is None or other.identity == record.identity:
            return False
        if _is_later(other.record, record):
            return True
        self._remove_target(other, "another target has its address")
        return False

    def remove(self, identity, now, may_return=False, was_lost=False):
        """Remove a target whose entry in the store was deleted.

        Parameters
        ----------
        identity : str
            Identity of the target.
        now : float
            Monotonic time in seconds, as in `expire`.
        may_return : bool
            Whether the target may write the entry again, as the store was
            unreachable shortly before or has gone back to a state without
            it. The target is then kept for a grace period unless it is
            draining.
        was_lost : bool
            Whether the store has gone back to a state without the entry.
        """
        target = self._targets.get(identity)
        if target is None:
            return
        self.changes += 1
        if may_return and not target.is_draining:
            target.removal_due_at = now + REMOVAL_GRACE_SECONDS
            self.on_removal_due(target.removal_due_at)
            return
        self._remove_target(target, "entry removed", has_left=not was_lost)

    def expire(self, now):
        """Remove the targets whose grace period ended without a new entry."""
        for target in self:
            if (
                target.removal_due_at is not None
                and now >= target.removal_due_at
            ):
                self.changes += 1
                self._remove_target(target, "entry did not return")

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

    def _remove_target(self, target, cause, has_left=True):
        target.is_present = False
        self._unlink(target)
        self._remember(target.record, has_left)
        _LOG.info(
            "target_gone", extra={"target": target.identity, "cause": cause}
        )
        self._on_end(target)

    def _remember(self, record, has_left):
        """Remember the record of a target that was removed."""
        if has_left:
            position = max(record.position, self._position)
            record = msgspec.structs.replace(record, position=position)
        self._removed[record.identity] = RemovedTarget(record, has_left)
        self._removed.move_to_end(record.identity)
        if len(self._removed) > MAX_REMOVED_RECORDS:
            self._removed.popitem(last=False)

    def _log_change(self, old, new):
        if old.is_draining != new.is_draining or old.layers != new.layers:
            _LOG.info(
                "target_changed",
                extra={
                    "target": new.identity,
                    "is_draining": new.is_draining,
                    "layers": _format_layers(new.layers),
                    "era": new.position.era,
                    "revision": new.position.revision,
                },
            )


def _log_leaving(identity, source, age_seconds):
    _LOG.info(
        "target_leaving",
        extra={
            "target": identity,
            "source": str(source),
            "age_seconds": round(age_seconds, 3),
        },
    )


def _is_later(record, other):
    """Return whether a record is the later one of two at one address.

    Positions of different eras do not tell this if both start times do.
    """
    is_same_era = record.position.era == other.position.era
    if is_same_era or not (record.born_ms and other.born_ms):
        return record.position > other.position
    return record.born_ms > other.born_ms


def _format_layers(layers):
    return f"{layers.first}-{layers.last}" if layers else ""
