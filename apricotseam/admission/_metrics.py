"""Prometheus metrics of admission, labelled by pool."""

import prometheus_client

from apricotseam.routing import pool_label

WAITING = prometheus_client.Gauge(
    "apricotseam_admission_waiting", "Requests that wait.", ["pool"]
)
WAITING_BYTES = prometheus_client.Gauge(
    "apricotseam_admission_waiting_bytes",
    "Bytes of the requests that wait.",
    ["pool"],
)
RUNNING = prometheus_client.Gauge(
    "apricotseam_admission_running", "Requests in progress.", ["pool"]
)
LIMIT = prometheus_client.Gauge(
    "apricotseam_admission_limit",
    "Requests that may be in progress.",
    ["pool"],
)
REFUSALS = prometheus_client.Counter(
    "apricotseam_admission_refusals",
    "Requests refused before they ran.",
    ["pool", "code"],
)


class PoolMetrics:
    """Exports the state of each pool as Prometheus metrics."""

    __slots__ = ("_gauges",)

    def __init__(self):
        self._gauges = {}

    def update(self, key, pool):
        """Set the gauges of one pool to its current state."""
        gauges = self._gauges.get(key)
        if gauges is None:
            label = pool_label(*key)
            gauges = self._gauges[key] = [
                gauge.labels(label)
                for gauge in (WAITING, WAITING_BYTES, RUNNING, LIMIT)
            ]
        waiting, waiting_bytes, running, limit = gauges
        waiting.set(pool.waiting)
        waiting_bytes.set(pool.waiting_bytes)
        running.set(pool.running)
        limit.set(pool.limit.value)

    def count_refusal(self, key, code):
        """Count one refused request by error code."""
        REFUSALS.labels(pool_label(*key), code).inc()
