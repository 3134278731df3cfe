"""Goodput of each policy of choice with old reports and late events."""

import random

from measure._decisions import Decisions
from measure._decisions import EngineSpec
from measure._decisions import FIRST_TOKEN_SECONDS
from measure._decisions import poisson
from measure._decisions import Request
from measure._figure import Figure
from measure._readers import percentile

WARM_UP_SECONDS = 6.0
MIN_GOODPUT = 0.90


def run(parameters, variant, seed):
    """Return the goodput over the bound of the engines.

    ``variant`` is a policy of choice. The engines are of two speeds; the
    prompts begin with one of a number of prefixes, some more often.
    """
    fast = EngineSpec(step_seconds=0.02)
    slow = EngineSpec(step_seconds=0.04)
    decisions = Decisions(
        [fast, fast, slow, slow],
        choice=variant,
        seed=seed,
        lag=parameters["lag_seconds"],
        lost_events=parameters["lost_events"],
    )
    seconds = parameters["seconds"]
    results = decisions.run(
        _requests(parameters, decisions.bound, seed), seconds
    )
    window = seconds - WARM_UP_SECONDS
    good = sum(
        sum(WARM_UP_SECONDS <= at for at in result.token_times)
        for result in results
        if (result.first_token_seconds or 1e9) <= FIRST_TOKEN_SECONDS
    )
    firsts = [
        result.first_token_seconds
        for result in results
        if result.token_times and result.request.at >= WARM_UP_SECONDS
    ]
    is_product = variant == "least_cost"
    return [
        Figure(
            name="goodput_over_bound",
            value=good / window / decisions.bound,
            unit="ratio",
            bound=MIN_GOODPUT if is_product else None,
            is_upper=False,
        ),
        Figure(
            name="first_token_p95",
            value=percentile(firsts, 0.95),
            unit="s",
            bound=FIRST_TOKEN_SECONDS if is_product else None,
        ),
    ]


def _requests(parameters, bound, seed):
    generator = random.Random(seed)
    tokens = parameters["tokens"]
    rate = parameters["offered"] * bound / tokens
    prefixes = [f"p{n}" for n in range(parameters["prefixes"])]
    weights = [1.0 / (n + 1) for n in range(len(prefixes))]
    return [
        Request(
            at=at,
            prefix=generator.choices(prefixes, weights)[0],
            tokens=max(1, round(generator.expovariate(1.0 / tokens))),
        )
        for at in poisson(generator, rate, 0.0, parameters["seconds"])
    ]
