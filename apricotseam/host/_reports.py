"""Keeps the target table: files, host list and engines' reports."""

import concurrent.futures
import logging
import time

from apricotseam.errors import ApricotseamError
from apricotseam.routing import TargetMerger
from apricotseam.supervision import Child

_LOG = logging.getLogger(__name__)

TABLE_PERIOD_SECONDS = 0.25
MIN_REPORT_PERIOD_SECONDS = 0.5
MAX_REPORT_PERIOD_SECONDS = 8.0
REPORTS_A_SECOND = 20
REPORT_TIMEOUT_SECONDS = 1.0
MAX_PARALLEL_REPORTS = 8


class ReportPlan:
    """Decides when this host asks each engine for its report."""

    def __init__(self):
        self._due = {}
        self._failures = {}

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


class TargetsChild(Child):
    """Keeps the target table from files, host list and reports.

    Parameters
    ----------
    engine : ModelEngine
        Gives the engines' reports.
    snapshots : Snapshots
        Where the table is put.
    plan : ReportPlan
        When to ask for reports.
    watched : callable
        Returns the targets of a table whose reports this host needs.
    plans : ChainPlans
        Plans to compute again when targets change.
    """

    name = "targets"

    def __init__(self, engine, snapshots, plan, watched, plans):
        self._watched = watched
        self._plans = plans
        self._engine = engine
        self._snapshots = snapshots
        self._plan = plan
        self._reports = {}
        self._merger = TargetMerger()
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
        table = self._snapshots.targets
        watched = self._watched(table)
        self._plans.refresh(configuration, table, watched)
        addresses = [t.address for t in watched if t.kind.value == "engine"]
        for address in set(self._reports).difference(addresses):
            self._reports.pop(address, None)
        for address in self._plan.due(addresses, time.monotonic()):
            if address not in self._asked:
                self._asked.add(address)
                self._pool.submit(self._ask, address)

    def _swap(self, configuration):
        self._snapshots.targets = self._merger.merge(
            configuration, self._snapshots.listed, self._reports
        )

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
