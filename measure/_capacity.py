"""Works out cores, calls and sums from measured slopes."""

import math
import statistics


class Costs:
    """Measured figures of the product's variants by name.

    Parameters
    ----------
    results : Results
        Where they are read.
    experiments : dict of str to Experiment
        Names the product's variant of each.
    """

    def __init__(self, results, experiments):
        self._values = {}
        for (name, variant, figure), samples in results.samples().items():
            experiment = experiments.get(name)
            if experiment is None or experiment.variants[0] != variant:
                continue
            values = [sample.value for sample in samples.values()]
            self._values[(name, figure)] = statistics.median(values)

    def get(self, experiment, figure):
        """Return a figure, or NaN if it was not measured."""
        return self._values.get((experiment, figure), math.nan)

    def line(self, experiment, slope, size):
        """Return the cost at a size: what is there at none and the slope."""
        base = self.get(experiment, f"{slope}: at none")
        return max(0.0, base) + self.get(experiment, slope) * size


def request_cores(fleet, costs):
    """Return the cores of one host that the request path takes."""
    request = costs.get(
        "slopes-requests",
        "processor time of a token over two stages: at none",
    )
    by_stages = costs.line(
        "slopes-requests",
        "processor time of a token by stages",
        fleet.stages,
    )
    return (
        fleet.host_requests * max(0.0, request) + fleet.host_tokens * by_stages
    ) / 1e3


def busy_cores(fleet, costs):
    """Return the same with the cost of a token under a busy load.

    The busy load runs chains of two stages; the cost of the further
    stages is added by the slope.
    """
    busy = costs.get(
        "request-path-busy", "processor time of entry hosts a token"
    )
    return fleet.host_tokens * busy / 1e3


def processes(fleet, cores):
    """Return the processes of a host that a number of cores needs."""
    return math.ceil(cores / fleet.busy_share)


def platform_calls(fleet, costs):
    """Return calls a second of the whole fleet to each part.

    Returns
    -------
    list of (str, float, float or None, str)
        Part, calls a second, what it takes, and how it was worked out.
    """
    changes = costs.get(
        "slopes-platform", "calls to the key-value service of a change"
    )
    rows = []
    for part, label, bound in (
        (
            "key-value service",
            "calls a second to the key-value service",
            fleet.key_value_reads_per_second,
        ),
        ("host list", "calls a second to the host list", None),
    ):
        by_zones = f"{label} by zones"
        calls = costs.line(
            "slopes-platform", by_zones, fleet.availability_zones
        ) + fleet.hosts * max(0.0, costs.get("slopes-platform", label))
        slopes = f"{label}; {by_zones}"
        rows.append((f"{part}, nothing changes", calls, bound, slopes))
    rows.append(
        (
            "key-value service, changes of the configuration",
            fleet.changes_per_second * changes,
            fleet.key_value_writes_per_second,
            "calls to the key-value service of a change",
        )
    )
    return rows


def control_totals(listed):
    """Return processor percent, megabytes and kilobytes a second.

    Roles without a figure count as nothing; the page names them.
    """
    control = [role for role in listed if role.is_control]
    processor = sum(_known(role.processor) for role in control) / 10
    memory = sum(_known(role.memory) for role in control) / 1e6
    sent = sum(_known(role.sent) for role in control) / 1e3
    return processor, memory, sent


def _known(value):
    return 0.0 if value is None or math.isnan(value) else value
