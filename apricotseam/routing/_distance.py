"""Latency between availability zones, from the scope files."""

# Latency between zones for which no link is declared.
OTHER_ZONE_SECONDS = 0.0005
SECONDS_PER_MILLISECOND = 0.001


class LinkDistances:
    """Looks up the declared latency of the links between zones.

    Parameters
    ----------
    configuration : callable
        Returns the current `Configuration`, or None.
    """

    __slots__ = ("_configuration", "_latency_cache")

    def __init__(self, configuration):
        self._configuration = configuration
        self._latency_cache = (None, {})

    def __call__(self, scope, zone, other):
        """Return the one-way latency between two zones in seconds."""
        if zone == other:
            return 0.0
        pair = (scope, frozenset((zone, other)))
        return self._latencies().get(pair, OTHER_ZONE_SECONDS)

    def _latencies(self):
        configuration = self._configuration()
        cached_for, latencies = self._latency_cache
        if configuration is cached_for:
            return latencies
        latencies = {
            (scope, frozenset(link.between)): (
                link.latency_milliseconds * SECONDS_PER_MILLISECOND
            )
            for scope, scope_file in configuration.scopes.items()
            for link in scope_file.links
        }
        self._latency_cache = (configuration, latencies)
        return latencies
