"""Requests that the callers of a simulation send, drawn from a seed."""

import msgspec
import numpy

from measure.emulator._site import AnswerSize

# Spread of the logarithm of lengths.
LENGTH_SIGMA = 0.6
# Spread of the logarithm of callers' estimates of the answer's length.
HINT_SIGMA = 0.5
# Documents that the prompts of a customer refer to, one each.
DOCUMENTS = 20
# Longest prompt or answer, as a multiple of the mean.
MAX_LENGTH_FACTOR = 3.0


class RequestClass(msgspec.Struct, frozen=True, kw_only=True):
    """Requests of one route.

    ``share`` is the fraction of all requests, ``prompt`` and ``answer`` are
    mean numbers of tokens. A request is on time if its first event comes
    within ``objective_seconds`` and no pause exceeds ``pause_seconds``.
    ``worth`` and ``late_worth`` are what its caller credits for an answer
    that is on time and for one that is late.
    """

    name: str
    priority: int
    share: float
    prompt: float = 760.0
    answer: float = 200.0
    objective_seconds: float = 0.6
    pause_seconds: float = 0.3
    timeout_seconds: float = 20.0
    worth: float = 1.0
    late_worth: float = 0.0


class CustomerSpec(msgspec.Struct, frozen=True):
    """One customer; ``share`` is its fraction of all requests."""

    name: str
    share: float


class PlannedRequest(msgspec.Struct, kw_only=True):
    """One request that a caller sends at a time, in seconds.

    ``expected_answer`` is the caller's estimate of the answer's tokens,
    ``prompt_parts`` are the hashes of the parts of its prompt, in order.
    """

    number: int
    at: float
    request_class: RequestClass
    customer: CustomerSpec
    size: AnswerSize
    expected_answer: int
    zone: str
    prompt_parts: tuple[str, ...]


class Workload(msgspec.Struct, kw_only=True):
    """Rate and mix of the requests.

    ``requests_per_second`` is the usual rate over all zones.
    """

    classes: list[RequestClass]
    customers: list[CustomerSpec]
    zones: list[str]
    requests_per_second: float
    seconds: float


def plan_requests(workload, factor, seed):
    """Return the requests of a workload in order of time.

    Parameters
    ----------
    workload : Workload
        Rate and mix.
    factor : callable
        Takes a time, a `RequestClass` and a `CustomerSpec`; returns by how
        much their rate exceeds the usual one.
    seed : int
        Seed of all random numbers.

    Returns
    -------
    list of PlannedRequest
    """
    generator = numpy.random.default_rng(seed)
    drafts = []
    for request_class in workload.classes:
        for customer in workload.customers:
            rate = (
                workload.requests_per_second
                * request_class.share
                * customer.share
            )
            times = _arrival_times(
                generator,
                rate,
                workload.seconds,
                lambda at: factor(at, request_class, customer),
            )
            drafts.extend((at, request_class, customer) for at in times)
    drafts.sort(key=lambda draft: draft[0])
    return [
        _draw_request(generator, number, draft, workload.zones)
        for number, draft in enumerate(drafts)
    ]


def _arrival_times(generator, rate, seconds, factor):
    """Return arrivals of a Poisson process whose rate varies.

    Arrivals are drawn at the highest rate and thinned.
    """
    ticks = numpy.arange(0.0, seconds, 0.25)
    highest = max(factor(at) for at in ticks) if len(ticks) else 0.0
    if highest * rate <= 0:
        return []
    count = generator.poisson(rate * highest * seconds)
    times = generator.uniform(0.0, seconds, count)
    kept = generator.uniform(0.0, highest, count)
    return [float(at) for at, level in zip(times, kept) if level < factor(at)]


def _draw_request(generator, number, draft, zones):
    at, request_class, customer = draft
    answer = _draw_length(generator, request_class.answer)
    hint = answer * generator.lognormal(0.0, HINT_SIGMA)
    return PlannedRequest(
        number=number,
        at=at,
        request_class=request_class,
        customer=customer,
        size=AnswerSize(_draw_length(generator, request_class.prompt), answer),
        expected_answer=max(1, round(hint)),
        zone=zones[generator.integers(len(zones))],
        prompt_parts=(
            f"instructions-{customer.name}",
            f"document-{number % DOCUMENTS}-{customer.name}",
            f"p{number}",
        ),
    )


def _draw_length(generator, mean):
    """Return a log-normal length with a mean, at least 1."""
    mu = numpy.log(mean) - LENGTH_SIGMA**2 / 2
    length = generator.lognormal(mu, LENGTH_SIGMA)
    return max(1, round(min(length, MAX_LENGTH_FACTOR * mean)))
