"""Metrics and periodic log lines about messages between hosts."""

import asyncio
import logging

from prometheus_client.core import CounterMetricFamily

_LOG = logging.getLogger(__name__)

LOG_PERIOD_SECONDS = 10.0
_DIRECTIONS = ("sent", "received")


class TrafficCollector:
    """Prometheus collector of a host's `Traffic`.

    Parameters
    ----------
    traffic : Traffic
        Counts since the start of the process.
    """

    def __init__(self, traffic):
        self._traffic = traffic

    def collect(self):
        """Yield the metric families."""
        messages = CounterMetricFamily(
            "apricotseam_peer_messages",
            "Messages between hosts.",
            labels=["direction", "kind"],
        )
        size = CounterMetricFamily(
            "apricotseam_peer_message_bytes",
            "Bytes of the bodies of messages between hosts.",
            labels=["direction", "kind"],
        )
        for direction in _DIRECTIONS:
            kinds = getattr(self._traffic, direction)
            for kind, counted in kinds.items():
                messages.add_metric([direction, kind], counted.messages)
                size.add_metric([direction, kind], counted.bytes)
        connections = CounterMetricFamily(
            "apricotseam_peer_connections",
            "Connections to other hosts that were opened, and evicted.",
            labels=["event"],
        )
        connections.add_metric(["opened"], self._traffic.connections_opened)
        connections.add_metric(["evicted"], self._traffic.connections_evicted)
        yield from (messages, size, connections)


async def log_traffic(traffic):
    """Log the messages and connections of each period, forever.

    Parameters
    ----------
    traffic : Traffic
        Counts since the start of the process.
    """
    before = _totals(traffic)
    while True:
        await asyncio.sleep(LOG_PERIOD_SECONDS)
        after = _totals(traffic)
        changed = {
            name: value - before.get(name, 0)
            for name, value in after.items()
            if value != before.get(name, 0)
        }
        _LOG.info(
            "peer_traffic", extra={"seconds": LOG_PERIOD_SECONDS, **changed}
        )
        before = after


def _totals(traffic):
    """Return the counts by name, for example ``sent_Ping_bytes``."""
    totals = {
        "connections_opened": traffic.connections_opened,
        "connections_evicted": traffic.connections_evicted,
    }
    for direction in _DIRECTIONS:
        for kind, counted in getattr(traffic, direction).items():
            totals[f"{direction}_{kind}_messages"] = counted.messages
            totals[f"{direction}_{kind}_bytes"] = counted.bytes
    return totals
