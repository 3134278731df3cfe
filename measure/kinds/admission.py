"""Admission: fair shares, latency of urgent requests, and surges."""

import random

from measure._decisions import EngineSpec
from measure._decisions import MAX_FIRST_TOKEN_SECONDS
from measure._decisions import poisson
from measure._decisions import Request
from measure._decisions import RoutingSimulation
from measure._figure import Figure
from measure._readers import percentile

WARM_UP_SECONDS = 6.0
MAX_TOKEN_GAP_SECONDS = 0.056
MAX_UNFAIRNESS = 0.05
MAX_RECOVERY_SECONDS = 5.0
RECOVERED_SHARE = 0.95
WINDOW_SECONDS = 1.0
MEAN_TOKENS = 32


def run(parameters, variant, seed):
    """Return the figures of one scenario.

    With the variant ``product``, requests pass the admission schedulers;
    with ``open``, each starts at once.
    """
    scenario = _SCENARIOS[parameters["scenario"]]
    return scenario(parameters, variant, seed)


def _build_simulation(variant, seed):
    specs = [EngineSpec(step_seconds=0.02) for _ in range(3)]
    return RoutingSimulation(
        specs, seed=seed, uses_admission=variant == "product"
    )


def _requests(generator, rate, start, end, **fields):
    """Return requests that arrive at random and ask for tokens at a rate.

    Parameters
    ----------
    generator : random.Random
        Source of random numbers.
    rate : float
        Mean number of tokens per second that all requests ask for.
    start, end : float
        Interval of the arrivals in seconds.
    **fields : object
        Other fields of each `Request`.
    """
    return [
        Request(
            at=at,
            tokens=max(1, round(generator.expovariate(1.0 / MEAN_TOKENS))),
            **fields,
        )
        for at in poisson(generator, rate / MEAN_TOKENS, start, end)
    ]


def _small_customer(parameters, variant, seed):
    """Measure the share that a customer of small weight gets.

    Its weight is a third of that of a large customer, so its fair share is
    a quarter of the engines' bound. It asks for twice that share, and the
    large customer for 20 times that share.
    """
    generator = random.Random(seed)
    simulation = _build_simulation(variant, seed)
    seconds = parameters["seconds"]
    fair_share = simulation.bound / 4
    requests = _requests(
        generator, fair_share * 20, 0.0, seconds, customer="large"
    )
    small_requests = _requests(
        generator, fair_share * 2, 0.0, seconds, customer="small", weight=1 / 3
    )
    results = simulation.run(requests + small_requests, seconds)
    tokens = {"large": 0, "small": 0}
    for result in results:
        tokens[result.request.customer] += sum(
            at >= WARM_UP_SECONDS for at in result.token_times
        )
    share = tokens["small"] / sum(tokens.values())
    return [
        Figure(
            name="small_customer_over_fair_share",
            value=share / 0.25,
            unit="ratio",
            bound=1.0 - MAX_UNFAIRNESS if variant == "product" else None,
            is_upper=False,
        )
    ]


def _urgent(parameters, variant, seed):
    """Measure latencies of urgent requests, alone and beside routine ones.

    Urgent requests ask for 0.2 times the engines' bound; routine requests
    raise the load to 1.5 times the bound.
    """
    figures = []
    for name, routine_share in (("alone", 0.0), ("with_routine", 1.3)):
        generator = random.Random(seed)
        simulation = _build_simulation(variant, seed)
        seconds = parameters["seconds"]
        urgent_requests = _requests(
            generator, 0.2 * simulation.bound, 0.0, seconds, rank=0
        )
        routine_requests = []
        if routine_share:
            routine_requests = _requests(
                generator,
                routine_share * simulation.bound,
                0.0,
                seconds,
                rank=2,
            )
        results = simulation.run(urgent_requests + routine_requests, seconds)
        figures += _urgent_figures(name, results, variant)
    return figures


def _urgent_figures(name, results, variant):
    urgent = [r for r in results if r.request.rank == 0]
    first_token_delays = [
        r.first_token_seconds for r in urgent if r.token_times
    ]
    gaps = [
        later - earlier
        for r in urgent
        for earlier, later in zip(
            r.token_times, r.token_times[1:], strict=False
        )
    ]
    is_product = variant == "product"
    refused = sum(r.refused_at is not None for r in urgent)
    return [
        Figure(
            name=f"urgent_first_token_p95_{name}",
            value=percentile(first_token_delays, 0.95),
            unit="s",
            bound=MAX_FIRST_TOKEN_SECONDS if is_product else None,
        ),
        Figure(
            name=f"urgent_between_tokens_p95_{name}",
            value=percentile(gaps, 0.95),
            unit="s",
            bound=MAX_TOKEN_GAP_SECONDS if is_product else None,
        ),
        Figure(
            name=f"urgent_refused_{name}",
            value=refused / len(urgent),
            unit="ratio",
        ),
    ]


def _surge(parameters, variant, seed):
    """Measure recovery from ten seconds at three times the bound.

    Before and after the surge, the load is 0.8 times the bound.
    """
    generator = random.Random(seed)
    simulation = _build_simulation(variant, seed)
    surge_start, surge_end = 10.0, 20.0
    seconds = surge_end + 15.0
    steady_rate = 0.8 * simulation.bound
    requests = _requests(generator, steady_rate, 0.0, seconds)
    requests += _requests(
        generator, 3.0 * simulation.bound - steady_rate, surge_start, surge_end
    )
    results = simulation.run(requests, seconds)
    share_before = _share_served(results, WARM_UP_SECONDS, surge_start)
    surge_goodput = _goodput(results, surge_start + WINDOW_SECONDS, surge_end)
    return [
        Figure(
            name="recovery_after_surge",
            value=_recovery_seconds(results, share_before, surge_end, seconds),
            unit="s",
            bound=MAX_RECOVERY_SECONDS if variant == "product" else None,
        ),
        Figure(
            name="goodput_in_surge_over_bound",
            value=surge_goodput / simulation.bound,
            unit="ratio",
            is_upper=False,
        ),
    ]


def _recovery_seconds(results, share_before, surge_end, seconds):
    """Return the seconds from a surge's end until recovery.

    The system has recovered when, in a window of `WINDOW_SECONDS`, the share
    of requests that are answered in time reaches `RECOVERED_SHARE` of the
    share before the surge. Without recovery, the time until the end of the
    run is returned.

    Parameters
    ----------
    results : list of Result
        Outcomes of all requests.
    share_before : float
        Share that was answered in time before the surge.
    surge_end, seconds : float
        End of the surge and of the run, in seconds from the start.
    """
    required_share = RECOVERED_SHARE * share_before
    window_start = surge_end
    while window_start + WINDOW_SECONDS <= seconds - 5.0:
        if (
            _share_served(results, window_start, window_start + WINDOW_SECONDS)
            >= required_share
        ):
            return window_start - surge_end
        window_start += 0.25
    return seconds - surge_end


def _meets_latency_bounds(result):
    """Return whether an answer met the latency bounds.

    The bounds are on the delay of the first token and on the mean time
    between tokens.
    """
    first_token_delay = result.first_token_seconds
    if (
        first_token_delay is None
        or first_token_delay > MAX_FIRST_TOKEN_SECONDS
    ):
        return False
    gap_count = max(1, len(result.token_times) - 1)
    total_seconds = result.token_times[-1] - result.token_times[0]
    return total_seconds / gap_count <= MAX_TOKEN_GAP_SECONDS


def _share_served(results, start, end):
    """Return the share of requests whose answers met the latency bounds.

    Only requests that arrived in a window are counted. ``start`` and ``end``
    of the window are in seconds from the start of the run.
    """
    offered = [r for r in results if start <= r.request.at < end]
    return sum(map(_meets_latency_bounds, offered)) / max(1, len(offered))


def _goodput(results, start, end):
    """Return tokens per second of answers that met the latency bounds."""
    tokens = sum(
        sum(start <= at < end for at in result.token_times)
        for result in results
        if _meets_latency_bounds(result)
    )
    return tokens / (end - start)


_SCENARIOS = {
    "small_customer": _small_customer,
    "surge": _surge,
    "urgent": _urgent,
}
