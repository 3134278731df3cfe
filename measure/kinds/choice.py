"""Goodput of each target choice policy with late and lost information."""

import random

from measure._decisions import EngineSpec
from measure._decisions import MAX_FIRST_TOKEN_SECONDS
from measure._decisions import poisson
from measure._decisions import Request
from measure._decisions import RoutingSimulation
from measure._figure import Figure
from measure._readers import percentile

WARM_UP_SECONDS = 6.0
MIN_GOODPUT = 0.90


def run(parameters, variant, seed):
    """Return goodput as a ratio to the highest rate of the engines.

    Goodput is the rate, after the warm-up, of the tokens of answers whose
    first token came in time. The engines are of two speeds. Each prompt
    begins with one of a number of prefixes, of which some are more frequent
    than others.

    Parameters
    ----------
    parameters : dict
        ``seconds``, ``offered`` load as a multiple of the engines' bound,
        mean ``tokens`` of an answer, number of ``prefixes``,
        ``lag_seconds`` of reports and cache events, and ``lost_events``,
        the share of cache events that are lost.
    variant : str
        Name of the choice policy.
    seed : int
        Seed of requests and choices.
    """
    fast = EngineSpec(step_seconds=0.02)
    slow = EngineSpec(step_seconds=0.04)
    simulation = RoutingSimulation(
        [fast, fast, slow, slow],
        choice=variant,
        seed=seed,
        report_lag_seconds=parameters["lag_seconds"],
        lost_event_share=parameters["lost_events"],
    )
    seconds = parameters["seconds"]
    results = simulation.run(
        _requests(parameters, simulation.bound, seed), seconds
    )
    window_seconds = seconds - WARM_UP_SECONDS
    good_tokens = sum(
        sum(WARM_UP_SECONDS <= at for at in result.token_times)
        for result in results
        if (result.first_token_seconds or 1e9) <= MAX_FIRST_TOKEN_SECONDS
    )
    first_token_delays = [
        result.first_token_seconds
        for result in results
        if result.token_times and result.request.at >= WARM_UP_SECONDS
    ]
    is_product = variant == "least_cost"
    return [
        Figure(
            name="goodput_over_bound",
            value=good_tokens / window_seconds / simulation.bound,
            unit="ratio",
            bound=MIN_GOODPUT if is_product else None,
            is_upper=False,
        ),
        Figure(
            name="first_token_p95",
            value=percentile(first_token_delays, 0.95),
            unit="s",
            bound=MAX_FIRST_TOKEN_SECONDS if is_product else None,
        ),
    ]


def _requests(parameters, bound, seed):
    generator = random.Random(seed)
    tokens = parameters["tokens"]
    rate = parameters["offered"] * bound / tokens
    prefixes = [f"p{n}" for n in range(parameters["prefixes"])]
    # Zipf's law: the n-th prefix is 1/n as frequent as the first.
    weights = [1.0 / (n + 1) for n in range(len(prefixes))]
    return [
        Request(
            at=at,
            prefix=generator.choices(prefixes, weights)[0],
            tokens=max(1, round(generator.expovariate(1.0 / tokens))),
        )
        for at in poisson(generator, rate, 0.0, parameters["seconds"])
    ]
