"""Metrics and periodic log lines about traffic on the control path.

These are the messages between hosts and the calls to the store.
"""

import asyncio
import logging

from prometheus_client.core import CounterMetricFamily

_LOG = logging.getLogger(__name__)

LOG_PERIOD_SECONDS = 10.0
_DIRECTIONS = ("sent", "received")


class TrafficCollector:
    """Prometheus collector of a host's control path.

    Parameters
    ----------
    traffic : Traffic
        Messages between hosts since the start of the process.
    store_calls : collections.Counter
        Calls to the store by kind.
    watches : collections.Counter
        Watches of the store by reason.
    reads : collections.Counter
        Reads of the store's items by source and outcome.
    era_events : collections.Counter
        Events by kind that belong to changes of the store's era.
    """

    def __init__(self, traffic, store_calls, watches, reads, era_events):
        self._era_events = era_events
        self._traffic = traffic
        self._store_calls = store_calls
        self._watches = watches
        self._reads = reads

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
        calls = CounterMetricFamily(
            "apricotseam_store_calls",
            "Calls to the key-value store by kind.",
            labels=["kind"],
        )
        for kind, count in self._store_calls.items():
            calls.add_metric([kind], count)
        watches = CounterMetricFamily(
            "apricotseam_store_watches",
            "Watches of the key-value store by reason.",
            labels=["reason"],
        )
        for reason, count in self._watches.items():
            watches.add_metric([reason], count)
        reads = CounterMetricFamily(
            "apricotseam_store_reads",
            "Reads of the store's items, from it or from peers, by outcome.",
            labels=["source", "outcome"],
        )
        for (source, outcome), count in self._reads.items():
            reads.add_metric([source, outcome], count)
        era_events = CounterMetricFamily(
            "apricotseam_store_era_events",
            "Changes of the store's era, messages and answers of earlier eras"
            " that were dropped, and entries in an earlier state by fate.",
            labels=["event"],
        )
        for event, count in self._era_events.items():
            era_events.add_metric([event], count)
        yield from (messages, size, connections, calls, watches, reads)
        yield era_events

    def totals(self):
        """Return all counts by name, for example ``sent_Ping_bytes``."""
        traffic = self._traffic
        totals = {
            "connections_opened": traffic.connections_opened,
            "connections_evicted": traffic.connections_evicted,
        }
        for direction in _DIRECTIONS:
            for kind, counted in getattr(traffic, direction).items():
                totals[f"{direction}_{kind}_messages"] = counted.messages
                totals[f"{direction}_{kind}_bytes"] = counted.bytes
        for kind, count in self._store_calls.items():
            totals[f"store_{kind}"] = count
        for reason, count in self._watches.items():
            totals[f"watch_{reason}"] = count
        for (source, outcome), count in self._reads.items():
            totals[f"read_{source}_{outcome}"] = count
        for event, count in self._era_events.items():
            totals[f"era_{event}"] = count
        return totals


async def log_traffic(collector):
    """Log the counts of each period, forever.

    Parameters
    ----------
    collector : TrafficCollector
        Counts since the start of the process.
    """
    before = collector.totals()
    while True:
        await asyncio.sleep(LOG_PERIOD_SECONDS)
        after = collector.totals()
        changed = {
            name: value - before.get(name, 0)
            for name, value in after.items()
            if value != before.get(name, 0)
        }
        _LOG.info(
            "control_traffic", extra={"seconds": LOG_PERIOD_SECONDS, **changed}
        )
        before = after
