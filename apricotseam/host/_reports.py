"""Maintains the target table from files, host list and reports."""

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
MAX_REPORTS_PER_SECOND = 20
REPORT_TIMEOUT_SECONDS = 1.0
MAX_PARALLEL_REPORTS = 8


class ReportSchedule:
    """Decides when this host fetches each engine's report.

    An engine that does not answer is asked less often, with a period that
    doubles up to ``MAX_REPORT_PERIOD_SECONDS``.
    """

    def __init__(self):
        self._due_at = {}
        self._failures = {}

    def take_due(self, addresses, now):
        """Return the addresses whose report is due; schedule the next.

        The period grows with the number of addresses, so that the calls of
        this host stay within ``MAX_REPORTS_PER_SECOND``.

        Parameters
        ----------
        addresses : list of str
            Addresses of all engines whose reports this host needs.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        list of str
        """
        known = set(addresses)
        for address in [a for a in self._due_at if a not in known]:
            del self._due_at[address]
            self._failures.pop(address, None)
        period = max(
            MIN_REPORT_PERIOD_SECONDS, len(known) / MAX_REPORTS_PER_SECOND
        )
        due_addresses = [
            a for a in addresses if now >= self._due_at.get(a, 0.0)
        ]
        for address in due_addresses:
            failures = self._failures.get(address, 0)
            backoff = min(period * 2**failures, MAX_REPORT_PERIOD_SECONDS)
            self._due_at[address] = now + max(period, backoff)
        return due_addresses

    def record_result(self, address, is_answered):
        """Record whether an address answered with its report."""
        # Four doublings turn the shortest period into the longest.
        failures = self._failures.get(address, 0)
        self._failures[address] = 0 if is_answered else min(failures + 1, 4)


class TargetsChild(Child):
    """Maintains the target table from files, host list and reports.

    Parameters
    ----------
    engine : ModelEngine
        Client that fetches the engines' reports.
    snapshots : Snapshots
        Receives the target table.
    schedule : ReportSchedule
        Decides when reports are fetched.
    watched : callable
        Returns the targets of a table whose reports this host needs.
    plans : ChainPlans
        Chain plans to recompute when targets change.
    """

    name = "targets"

    def __init__(self, engine, snapshots, schedule, watched, plans):
        self._watched = watched
        self._plans = plans
        self._engine = engine
        self._snapshots = snapshots
        self._schedule = schedule
        self._reports = {}
        self._merger = TargetMerger()
        self._pending = set()
        self._executor = concurrent.futures.ThreadPoolExecutor(
            MAX_PARALLEL_REPORTS, thread_name_prefix="reports"
        )

    def run(self, stopping):
        """Refresh until told to stop."""
        while not stopping.is_set():
            self.refresh()
            stopping.wait(TABLE_PERIOD_SECONDS)

    def stop(self):
        """Stop the threads that fetch reports."""
        self._executor.shutdown(wait=False, cancel_futures=True)

    def refresh(self):
        """Replace the table and fetch the reports that are due."""
        configuration = self._snapshots.configuration
        if configuration is None:
            return
        self._replace_table(configuration)
        table = self._snapshots.targets
        watched = self._watched(table)
        self._plans.refresh(configuration, table, watched)
        addresses = self._reporting_addresses(table, watched)
        for address in set(self._reports).difference(addresses):
            self._reports.pop(address, None)
        for address in self._schedule.take_due(addresses, time.monotonic()):
            if address not in self._pending:
                self._pending.add(address)
                self._executor.submit(self._fetch_report, address)

    def _reporting_addresses(self, table, watched):
        """Return the addresses of engines whose reports this host needs.

        Engines that report that they are leaving are not watched, but would
        count as staying without their reports.
        """
        addresses = [t.address for t in watched if t.kind.value == "engine"]
        leaving = {t.address for t in table.all if t.leaving}
        return [*addresses, *leaving.intersection(self._reports)]

    def _replace_table(self, configuration):
        self._snapshots.targets = self._merger.merge(
            configuration, self._snapshots.listed_hosts, self._reports
        )

    def _fetch_report(self, address):
        deadline = time.monotonic() + REPORT_TIMEOUT_SECONDS
        try:
            self._reports[address] = self._engine.report(address, deadline)
            self._schedule.record_result(address, True)
        except ApricotseamError as error:
            _LOG.info(
                "report_failed",
                extra={"address": address, "error": str(error)},
            )
            # A leaving engine that has ended is not to become usable again.
            known = self._reports.get(address)
            if known is not None and not known.leaving:
                self._reports.pop(address, None)
            self._schedule.record_result(address, False)
        finally:
            self._pending.discard(address)
