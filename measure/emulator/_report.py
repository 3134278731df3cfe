"""Figures of a play, in total, by class and by customer."""

import msgspec
import numpy

from measure.emulator._caller import Outcome

WINDOW_SECONDS = 2.0
WINDOW_STEP_SECONDS = 0.25
# Windows with fewer requests say too little.
MIN_WINDOW_REQUESTS = 5


class Figures(msgspec.Struct, frozen=True, kw_only=True):
    """Numbers of requests by outcome.

    ``refused_again`` counts those that were refused more than once.
    ``worst_window`` is the lowest share of requests that were served on
    time, among those sent within two seconds.
    """

    requests: int
    on_time: int
    late: int
    refused: int
    failed: int
    refused_once: int
    refused_again: int
    worst_window: float

    @property
    def served_share(self):
        """Share of the requests that were served, on time or late."""
        return (self.on_time + self.late) / max(1, self.requests)

    @property
    def on_time_share(self):
        """Share of the requests that were served on time."""
        return self.on_time / max(1, self.requests)


def count_results(results):
    """Return the `Figures` of a list of `Result`."""
    outcomes = [result.outcome for result in results]
    return Figures(
        requests=len(results),
        on_time=outcomes.count(Outcome.ON_TIME),
        late=outcomes.count(Outcome.LATE),
        refused=outcomes.count(Outcome.REFUSED),
        failed=outcomes.count(Outcome.FAILED),
        refused_once=sum(result.refusals > 0 for result in results),
        refused_again=sum(result.refusals > 1 for result in results),
        worst_window=_worst_window(results),
    )


def add_figures(plays):
    """Return the sums of the `Figures` of plays, and their worst window."""
    sums = {
        field: sum(getattr(figures, field) for figures in plays)
        for field in Figures.__struct_fields__
        if field != "worst_window"
    }
    worst = min(figures.worst_window for figures in plays)
    return Figures(worst_window=worst, **sums)


def credit_share(results):
    """Return the share of the credit for results that callers give.

    All of it is what they would give if each answer were on time.
    """
    earned = sum(
        result.request.request_class.worth
        if result.outcome is Outcome.ON_TIME
        else result.request.request_class.late_worth
        for result in results
        if result.is_served
    )
    most = sum(result.request.request_class.worth for result in results)
    return earned / most if most else 1.0


def by_class(results):
    """Return lists of results by name of the request class."""
    return _group(results, lambda request: request.request_class.name)


def by_customer(results):
    """Return lists of results by name of the customer."""
    return _group(results, lambda request: request.customer.name)


def sent_between(results, begin, end):
    """Return the results of requests sent from one time to another."""
    return [r for r in results if begin <= r.request.at < end]


def format_report(plays_by_policy):
    """Return a report as lines of text.

    Parameters
    ----------
    plays_by_policy : dict of str to list of list of Result
        Results of each play by name of the policy.
    """
    lines = [
        f"{'':24}{'policy':10}{'sent':>6}{'on time':>9}{'late':>6}"
        f"{'refused':>9}{'failed':>8}{'again':>7}{'worst 2 s':>11}"
        f"{'p50 ms':>8}{'p99 ms':>8}"
    ]
    for group in (_all, by_class, by_customer):
        grouped = {
            policy: [group(results) for results in plays]
            for policy, plays in plays_by_policy.items()
        }
        names = {
            name
            for plays in grouped.values()
            for found in plays
            for name in found
        }
        for name in sorted(names):
            for policy, plays in grouped.items():
                figures = add_figures(
                    [count_results(found.get(name, [])) for found in plays]
                )
                results = [r for found in plays for r in found.get(name, [])]
                row = _format_row(name, policy, figures)
                lines.append(row + _format_first_events(results))
    return lines


def _all(results):
    return {"all": results}


def _format_row(name, policy, figures):
    return (
        f"{name:24}{policy:10}{figures.requests:6}{figures.on_time:9}"
        f"{figures.late:6}{figures.refused:9}{figures.failed:8}"
        f"{figures.refused_again:7}{figures.worst_window:11.2f}"
    )


def _format_first_events(results):
    """Return the median and 99th percentile until the first event."""
    milliseconds = [
        1000.0 * (result.first_event_at - result.request.at)
        for result in results
        if result.first_event_at is not None
    ]
    if not milliseconds:
        return f"{'-':>8}{'-':>8}"
    median, high = numpy.percentile(milliseconds, [50, 99])
    return f"{median:8.0f}{high:8.0f}"


def _group(results, key):
    groups = {}
    for result in results:
        groups.setdefault(key(result.request), []).append(result)
    return groups


def _worst_window(results):
    """Return the lowest share served on time within two seconds."""
    times = [result.request.at for result in results]
    worst = 1.0
    begin = 0.0
    while times and begin + WINDOW_SECONDS <= max(times):
        found = sent_between(results, begin, begin + WINDOW_SECONDS)
        if len(found) >= MIN_WINDOW_REQUESTS:
            on_time = sum(r.outcome is Outcome.ON_TIME for r in found)
            worst = min(worst, on_time / len(found))
        begin += WINDOW_STEP_SECONDS
    return worst
