"""Keeps the target table: files, host list and engines' reports."""

import concurrent.futures
import hashlib
import logging
import time

from apricotseam.errors import ApricotseamError
from apricotseam.routing import merge_targets
from apricotseam.supervision import Child

_LOG = logging.getLogger(__name__)

TABLE_PERIOD_SECONDS = 0.25
MIN_REPORT_PERIOD_SECONDS = 0.5
MAX_REPORT_PERIOD_SECONDS = 8.0
REPORTS_A_SECOND = 20
REPORT_TIMEOUT_SECONDS = 1.0
MAX_REPORTED_TARGETS = 64
MAX_PARALLEL_REPORTS = 8


class ReportPlan:
    """Decides which engines this host asks for reports, and when.

    Parameters
    ----------
    own_name : str
        Name of this host, which makes the subsets of hosts differ.
    zone : str
        Availability zone of this host.
    """

    def __init__(self, own_name, zone):
        self._own_name = own_name
        self._zone = zone
        self._due = {}
        self._failures = {}

    def choose(self, targets):
        """Return the addresses to ask: a bounded subset of the engines.

        For each range of layers the own availability zone comes first
        and the rest by a hash, so that a subset covers all layers and
        the subsets of all hosts cover all engines.
        """
        engines = [t for t in targets if t.kind.value == "engine"]
        if len(engines) <= MAX_REPORTED_TARGETS:
            return [t.address for t in engines]
        ranges = {}
        for target in sorted(engines, key=self._preference):
            key = (target.scope, target.group, target.first, target.last)
            ranges.setdefault(key, []).append(target.address)
        chosen = []
        turn = 0
        while len(chosen) < MAX_REPORTED_TARGETS:
            row = [a[turn] for a in ranges.values() if turn < len(a)]
            if not row:
                break
            chosen.extend(row)
            turn += 1
        return chosen[: max(MAX_REPORTED_TARGETS, len(ranges))]

    def due(self, addresses, now):
        """Return the addresses whose report is due, and plan the next.

        The period grows with the number of addresses, so that the calls
        of this host stay within a fixed rate.
        """
        known = set(addresses)
        for address in [a for a in self._due if a not in known]:
            del self._due[address]
            self._failures.pop(address, None)
        period = max(MIN_REPORT_PERIOD_SECONDS, len(known) / REPORTS_A_SECOND)
        found = [a for a in addresses if now >= self._due.get(a, 0.0)]
        for address in found:
            failures = self._failures.get(address, 0)
            wait = min(period * 2**failures, MAX_REPORT_PERIOD_SECONDS)
            self._due[address] = now + max(period, wait)
        return found

    def note(self, address, is_answered):
        """Note whether an address gave its report."""
        failures = self._failures.get(address, 0)
        self._failures[address] = 0 if is_answered else min(failures + 1, 4)

    def _preference(self, target):
        text = f"{self._own_name}/{target.address}".encode()
        digest = hashlib.blake2b(text, digest_size=8).digest()
        return (target.availability_zone != self._zone, digest)


class TargetsChild(Child):
    """Keeps the target table from files, host list and reports.

    Parameters
    ----------
    engine : ModelEngine
        Gives the engines' reports.
    snapshots : Snapshots
        Where the table is put.
    plan : ReportPlan
        Which reports to ask for.
    """

    name = "targets"

    def __init__(self, engine, snapshots, plan):
        self._engine = engine
        self._snapshots = snapshots
        self._plan = plan
        self._reports = {}
        self._built_from = None
        self._asked = set()
        self._pool = concurrent.futures.ThreadPoolExecutor(
            MAX_PARALLEL_REPORTS, thread_name_prefix="reports"
        )

    def run(self, stopping):
        """Refresh until told to stop."""
        while not stopping.is_set():
            self.refresh()
            stopping.wait(TABLE_PERIOD_SECONDS)

    def stop(self):
        """End the threads that ask for reports."""
        self._pool.shutdown(wait=False, cancel_futures=True)

    def refresh(self):
        """Swap the table and ask for the reports that are due."""
        configuration = self._snapshots.configuration
        if configuration is None:
            return
        self._swap(configuration)
        addresses = self._plan.choose(self._snapshots.targets.all)
        for address in set(self._reports).difference(addresses):
            self._reports.pop(address, None)
        for address in self._plan.due(addresses, time.monotonic()):
            if address not in self._asked:
                self._asked.add(address)
                self._pool.submit(self._ask, address)

    def _swap(self, configuration):
        reports = dict(self._reports)
        sources = (configuration, self._snapshots.listed, reports)
        if sources == self._built_from:
            return
        self._built_from = sources
        self._snapshots.targets = merge_targets(*sources)

    def _ask(self, address):
        deadline = time.monotonic() + REPORT_TIMEOUT_SECONDS
        try:
            self._reports[address] = self._engine.report(address, deadline)
            self._plan.note(address, True)
        except ApricotseamError:
            self._reports.pop(address, None)
            self._plan.note(address, False)
        finally:
            self._asked.discard(address)
