"""Updates a target table incrementally as its sources change."""

from apricotseam.routing._merge import make_state
from apricotseam.routing._merge import merge_targets
from apricotseam.routing._merge import sources_of
from apricotseam.routing._table import TargetTable


class TargetMerger:
    """Merges the sources of the target table repeatedly.

    The table is rebuilt when the configuration or the host list has
    changed. When only reports have changed, only their targets are
    replaced.
    """

    def __init__(self):
        self._configuration = None
        self._listed = None
        self._reports = {}
        self._sources = {}
        self._table = TargetTable()

    def merge(self, configuration, listed, reports):
        """Return the same target table as `merge_targets`.

        Parameters
        ----------
        configuration : Configuration
            The current configuration.
        listed : dict of str to ListedHost
            Host list by address.
        reports : dict of str to EngineReport
            Latest report by address.

        Returns
        -------
        TargetTable
            The previous table if nothing has changed.
        """
        reports = dict(reports)
        if self._is_changed(configuration, listed):
            self._table = merge_targets(configuration, listed, reports)
            self._sources = {}
        else:
            self._apply_report_changes(configuration, listed, reports)
        self._configuration = configuration
        self._listed = listed
        self._reports = reports
        return self._table

    def _is_changed(self, configuration, listed):
        if configuration is not self._configuration:
            return True
        return listed is not self._listed and listed != self._listed

    def _apply_report_changes(self, configuration, listed, reports):
        """Replace the targets whose reports are new, changed or gone."""
        changed = [
            address
            for address in reports.keys() | self._reports.keys()
            if reports.get(address) is not self._reports.get(address)
        ]
        unknown = set(changed).difference(self._sources)
        if unknown:
            found = sources_of(configuration, listed, unknown)
            self._sources.update({a: found.get(a, ()) for a in unknown})
        states = [
            make_state(source, listed, reports)
            for address in changed
            for source in self._sources[address]
        ]
        if states:
            self._table = self._table.replace(states)
