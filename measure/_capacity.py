"""Calculates cores, calls and control totals from measured slopes."""

import math
import statistics


class Costs:
    """Measured figures of the router as shipped, by experiment and name.

    Each is the median over the seeds of the first variant of an
    experiment.

    Parameters
    ----------
    results : Results
        Results to read the figures from.
    experiments : dict of str to Experiment
        Experiments by name; their first variant is the router as shipped.
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
        """Return the value of a figure, NaN if it was not measured."""
        return self._values.get((experiment, figure), math.nan)

    def cost_at(self, experiment, slope, size):
        """Return the cost at a size from the intercept and the slope.

        A negative intercept, which noise can cause, counts as zero.

        Parameters
        ----------
        experiment : str
            Name of the experiment.
        slope : str
            Name of the slope.
        size : float
            Size in the units of the slope.

        Returns
        -------
        float
            Cost in the unit of the slope, NaN if it was not measured.
        """
        intercept = self.get(experiment, f"{slope}: at none")
        return max(0.0, intercept) + self.get(experiment, slope) * size


def request_cores(fleet, costs):
    """Return the cores of one host that the request path uses.

    The slopes are measured with few answers in progress; see
    `busy_request_cores`.
    """
    # The size of this slope is the number of tokens, so its intercept is the
    # cost of a request itself.
    request_ms = costs.get(
        "slopes-requests",
        "processor time of a token over two stages: at none",
    )
    token_ms = costs.cost_at(
        "slopes-requests",
        "processor time of a token by stages",
        fleet.stages,
    )
    return (
        fleet.host_requests_per_second * max(0.0, request_ms)
        + fleet.host_tokens_per_second * token_ms
    ) / 1e3


def busy_request_cores(fleet, costs):
    """Return the cores of the request path with many answers in progress.

    The busy load runs chains of two stages. The cost of further stages is
    not included.
    """
    token_ms = costs.get(
        "request-path-busy", "processor time of entry hosts a token"
    )
    return fleet.host_tokens_per_second * token_ms / 1e3


def process_count(fleet, cores):
    """Return the number of processes that a host needs for its load.

    Parameters
    ----------
    fleet : Fleet
        Gives the highest planned utilization of a process.
    cores : float
        Load of the host in cores.
    """
    return math.ceil(cores / fleet.busy_share)


def platform_calls(fleet, costs):
    """Return the calls of the whole fleet to each part of the platform.

    Returns
    -------
    list of (str, float, float or None, str)
        Part, calls per second, the limit of calls per second or None if
        none is given, and the slopes that the calls were calculated from.
    """
    calls_per_change = costs.get(
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
        calls = costs.cost_at(
            "slopes-platform", by_zones, fleet.availability_zones
        ) + fleet.hosts * max(0.0, costs.get("slopes-platform", label))
        slopes = f"{label}; {by_zones}"
        rows.append((f"{part}, nothing changes", calls, bound, slopes))
    rows.append(
        (
            "key-value service, changes of the configuration",
            fleet.changes_per_second * calls_per_change,
            fleet.key_value_writes_per_second,
            "calls to the key-value service of a change",
        )
    )
    return rows


def control_totals(host_roles):
    """Return the sums of the costs of the roles that are control work.

    Figures that were not measured count as zero; the capacity page lists
    their roles.

    Parameters
    ----------
    host_roles : list of Role
        Roles of a host.

    Returns
    -------
    (float, float, float)
        Processor time in percent of a core, memory in megabytes, and
        bytes sent in kilobytes per second.
    """
    control = [role for role in host_roles if role.is_control]
    # 10 ms of processor time per second are 1% of a core.
    processor = sum(_zero_if_unknown(role.processor) for role in control) / 10
    memory = sum(_zero_if_unknown(role.memory) for role in control) / 1e6
    sent = sum(_zero_if_unknown(role.sent) for role in control) / 1e3
    return processor, memory, sent


def _zero_if_unknown(value):
    return 0.0 if value is None or math.isnan(value) else value
