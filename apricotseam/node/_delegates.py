"""Reports that a host gets from the delegates of its availability zone."""

import msgspec

from apricotseam.node._restarts import without_targets
from apricotseam.node._zone_reports import FORGET_AFTER_SECONDS
from apricotseam.node._zone_reports import is_newer
from apricotseam.node._zone_reports import ZoneReport

# A new delegate reports only after each host of the zone has sent it a state.
TAKEOVER_SECONDS = 2.0


class _Received(msgspec.Struct, frozen=True):
    """A report and the time of its receipt."""

    report: ZoneReport
    received_at: float


class DelegateReports:
    """Last report of each delegate, and which delegates are overdue.

    All times are monotonic, in seconds.
    """

    def __init__(self):
        self._received = {}
        # Time since when each delegate is known as one, by peer address.
        self._known_since = {}

    def __len__(self):
        return len(self._received)

    def receive(self, address, report, now):
        """Record a report; return whether it is newer than the last one.

        Parameters
        ----------
        address : str
            Peer address of the delegate.
        report : ZoneReport
            The report.
        now : float
            Time of its receipt.
        """
        known = self._received.get(address)
        if not is_newer(report, known.report if known else None):
            return False
        self._received[address] = _Received(report, now)
        return True

    def forget_target(self, identity):
        """Forget what was said of a target whose process has ended."""
        self._received = {
            address: _Received(
                without_targets(received.report, {identity}),
                received.received_at,
            )
            for address, received in self._received.items()
        }

    def suspects(self, valid_seconds, now):
        """Return the targets that all delegates find silent.

        A delegate that has lost its own links finds all others silent.

        Parameters
        ----------
        valid_seconds : float
            Age in seconds up to which reports count.
        now : float
            Current time.

        Returns
        -------
        reporters : list of str
            The delegates' processes.
        suspects : set of str
            Identities of the targets.
        """
        reports = self._recent(valid_seconds, now)
        common = _in_all(report.suspects for report in reports)
        return [report.sender for report in reports], common

    def silent_hosts(self, silent_after, now):
        """Return the hosts that all delegates report as silent.

        A delegate that is cut off itself reports all others as silent.

        Parameters
        ----------
        silent_after : float
            Age in seconds up to which reports count.
        now : float
            Current time.
        """
        reports = self._recent(silent_after, now)
        return _in_all(report.silent for report in reports)

    def expect(self, delegates, now):
        """Note the present delegates, from which reports are due."""
        for address in delegates:
            self._known_since.setdefault(address, now)

    def unheard(self, members, silent_after, now):
        """Return the delegates whose reports are overdue.

        A delegate that is heard again counts as one again, as it reports to
        all hosts of the zone.

        Parameters
        ----------
        members : container of str
            Peer addresses of the other hosts of the zone; delegates that
            are no longer among them are forgotten.
        silent_after : float
            Seconds after which a report is overdue.
        now : float
            Current time.
        """
        self._received = {
            address: received
            for address, received in self._received.items()
            if now - received.received_at < FORGET_AFTER_SECONDS
        }
        self._known_since = {
            address: since
            for address, since in self._known_since.items()
            if address in members
        }
        return {
            address
            for address in self._known_since
            if now >= self._last_sign(address) + silent_after
        }

    def _recent(self, valid_seconds, now):
        """Return the reports that are no older than a number of seconds."""
        return [
            received.report
            for received in self._received.values()
            if now - received.received_at <= valid_seconds
        ]

    def _last_sign(self, address):
        """Return the time of the last report, or that of the first one due."""
        first_due_at = self._known_since[address] + TAKEOVER_SECONDS
        received = self._received.get(address)
        if received is None:
            return first_due_at
        return max(received.received_at, first_due_at)


def _in_all(collections):
    """Return the set of what is in each collection; empty if there is none."""
    sets = [set(collection) for collection in collections]
    return set.intersection(*sets) if sets else set()
