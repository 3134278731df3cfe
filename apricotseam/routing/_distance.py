"""Link distances between availability zones from operators' files."""

OTHER_ZONE_SECONDS = 0.0005
MILLISECONDS = 0.001


class LinkDistances:
    """Latency between zones in the configuration in force.

    Parameters
    ----------
    configuration : callable
        Returns the `Configuration` in force or None.
    """

    __slots__ = ("_configuration", "_known")

    def __init__(self, configuration):
        self._configuration = configuration
        self._known = (None, {})

    def __call__(self, scope, zone, other):
        """Return seconds one way between two zones."""
        if zone == other:
            return 0.0
        pair = (scope, frozenset((zone, other)))
        return self._table().get(pair, OTHER_ZONE_SECONDS)

    def _table(self):
        configuration = self._configuration()
        known, table = self._known
        if configuration is known:
            return table
        table = {
            (scope, frozenset(link.between)): (
                link.latency_milliseconds * MILLISECONDS
            )
            for scope, scope_file in configuration.scopes.items()
            for link in scope_file.links
        }
        self._known = (configuration, table)
        return table
