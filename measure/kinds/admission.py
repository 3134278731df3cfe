"""Fair shares, urgent latency and recovery from a surge."""

import random

from measure._decisions import Decisions
from measure._decisions import EngineSpec
from measure._decisions import FIRST_TOKEN_SECONDS
from measure._decisions import poisson
from measure._decisions import Request
from measure._figure import Figure
from measure._readers import percentile

WARM_UP_SECONDS = 6.0
MAX_TOKEN_SECONDS = 0.056
MAX_UNFAIRNESS = 0.05
MAX_RECOVERY_SECONDS = 5.0
RECOVERED_SHARE = 0.95
WINDOW_SECONDS = 1.0
TOKENS = 32


def run(parameters, variant, seed):
    """Return the figures of one scenario.

    The variant ``product`` passes the schedulers; ``open`` starts each
    request at once.
    """
    scenario = _SCENARIOS[parameters["scenario"]]
    return scenario(parameters, variant, seed)


def _decisions(variant, seed):
    specs = [EngineSpec(step_seconds=0.02) for _ in range(3)]
    return Decisions(specs, seed=seed, is_admitted=variant == "product")


def _requests(generator, rate, start, end, **more):
    """Return requests of a customer at a rate in tokens a second."""
    return [
        Request(
            at=at,
            tokens=max(1, round(generator.expovariate(1.0 / TOKENS))),
            **more,
        )
        for at in poisson(generator, rate / TOKENS, start, end)
    ]


def _small_customer(parameters, variant, seed):
    """One customer offers its fair share, another 20 times its limit."""
    generator = random.Random(seed)
    decisions = _decisions(variant, seed)
    seconds = parameters["seconds"]
    fair = decisions.bound / 4
    requests = _requests(generator, fair * 20, 0.0, seconds, customer="large")
    small = _requests(
        generator, fair * 2, 0.0, seconds, customer="small", weight=1 / 3
    )
    results = decisions.run(requests + small, seconds)
    made = {"large": 0, "small": 0}
    for result in results:
        made[result.request.customer] += sum(
            at >= WARM_UP_SECONDS for at in result.token_times
        )
    share = made["small"] / sum(made.values())
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
    """Urgent work of a fifth of the bound; routine work adds up to 1.5."""
    figures = []
    for name, routine in (("alone", 0.0), ("with_routine", 1.3)):
        generator = random.Random(seed)
        decisions = _decisions(variant, seed)
        seconds = parameters["seconds"]
        urgent = _requests(
            generator, 0.2 * decisions.bound, 0.0, seconds, rank=0
        )
        others = []
        if routine:
            others = _requests(
                generator, routine * decisions.bound, 0.0, seconds, rank=2
            )
        results = decisions.run(urgent + others, seconds)
        figures += _latencies(name, results, variant)
    return figures


def _latencies(name, results, variant):
    urgent = [r for r in results if r.request.rank == 0]
    firsts = [r.first_token_seconds for r in urgent if r.token_times]
    gaps = [
        later - earlier
        for r in urgent
        for earlier, later in zip(
            r.token_times, r.token_times[1:], strict=False
        )
    ]
    is_bound = variant == "product"
    refused = sum(r.refused_at is not None for r in urgent)
    return [
        Figure(
            name=f"urgent_first_token_p95_{name}",
            value=percentile(firsts, 0.95),
            unit="s",
            bound=FIRST_TOKEN_SECONDS if is_bound else None,
        ),
        Figure(
            name=f"urgent_between_tokens_p95_{name}",
            value=percentile(gaps, 0.95),
            unit="s",
            bound=MAX_TOKEN_SECONDS if is_bound else None,
        ),
        Figure(
            name=f"urgent_refused_{name}",
            value=refused / len(urgent),
            unit="ratio",
        ),
    ]


def _surge(parameters, variant, seed):
    """Three times the bound for some seconds, then what was before."""
    generator = random.Random(seed)
    decisions = _decisions(variant, seed)
    begin, end = 10.0, 20.0
    seconds = end + 15.0
    steady = 0.8 * decisions.bound
    requests = _requests(generator, steady, 0.0, seconds)
    requests += _requests(
        generator, 3.0 * decisions.bound - steady, begin, end
    )
    results = decisions.run(requests, seconds)
    before = _share_served(results, WARM_UP_SECONDS, begin)
    during = _goodput(results, begin + WINDOW_SECONDS, end)
    return [
        Figure(
            name="recovery_after_surge",
            value=_recovery(results, before, end, seconds),
            unit="s",
            bound=MAX_RECOVERY_SECONDS if variant == "product" else None,
        ),
        Figure(
            name="goodput_in_surge_over_bound",
            value=during / decisions.bound,
            unit="ratio",
            is_upper=False,
        ),
    ]


def _recovery(results, before, end, seconds):
    """Return the time from the end until offers are served as before.

    Counted are requests offered in a window and answered in time, over
    those offered in it, against the same share before the surge.
    """
    wanted = RECOVERED_SHARE * before
    at = end
    while at + WINDOW_SECONDS <= seconds - 5.0:
        if _share_served(results, at, at + WINDOW_SECONDS) >= wanted:
            return at - end
        at += 0.25
    return seconds - end


def _is_good(result):
    """Return whether an answer came and went on in time."""
    seconds = result.first_token_seconds
    if seconds is None or seconds > FIRST_TOKEN_SECONDS:
        return False
    gaps = max(1, len(result.token_times) - 1)
    total = result.token_times[-1] - result.token_times[0]
    return total / gaps <= MAX_TOKEN_SECONDS


def _share_served(results, start, end):
    offered = [r for r in results if start <= r.request.at < end]
    return sum(map(_is_good, offered)) / max(1, len(offered))


def _goodput(results, start, end):
    tokens = sum(
        sum(start <= at < end for at in result.token_times)
        for result in results
        if _is_good(result)
    )
    return tokens / (end - start)


_SCENARIOS = {
    "small_customer": _small_customer,
    "surge": _surge,
    "urgent": _urgent,
}
