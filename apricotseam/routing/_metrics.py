"""Prometheus metrics of ejections and retries, labelled by pool."""

import prometheus_client

MAX_POOL_LABELS = 64
OTHER_POOLS = "other"

EJECTIONS = prometheus_client.Counter(
    "apricotseam_target_ejections", "Targets ejected.", ["pool"]
)
EJECTED = prometheus_client.Gauge(
    "apricotseam_targets_ejected", "Targets that are ejected now.", ["pool"]
)
RETRIES = prometheus_client.Counter(
    "apricotseam_retries",
    "Further attempts that were asked for.",
    ["pool", "granted"],
)

_labels = {}


def pool_label(scope, group):
    """Return the metric label of a pool.

    Pools beyond the first `MAX_POOL_LABELS` share one label.

    Examples
    --------
    >>> pool_label("team", "servers")
    'team/servers'
    """
    key = (scope, group)
    if key not in _labels and len(_labels) >= MAX_POOL_LABELS:
        return OTHER_POOLS
    return _labels.setdefault(key, f"{scope}/{group}")


def count_retry(pool, is_granted):
    """Count one request for a retry, granted or not."""
    RETRIES.labels(pool_label(*pool), str(is_granted).lower()).inc()
