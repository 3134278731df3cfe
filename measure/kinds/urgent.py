"""Latency of urgent answers beside routine load, with host processes."""

import contextlib
import random
import threading
import time

import msgspec

from apricotseam.client import HostClient
from apricotseam.errors import ApricotseamError

from measure._decisions import poisson
from measure._engines import Cluster
from measure._engines import CUSTOMER_KEY
from measure._engines import replicated_engines
from measure._figure import Figure
from measure._readers import percentile

LAYERS = 8
LAYER_RANGES = ((0, 3), (4, 7))
ENGINES_PER_RANGE = 2
STEP_SECONDS = 0.02
MAX_BATCH = 4
BOUND_TOKENS_PER_SECOND = ENGINES_PER_RANGE * MAX_BATCH / STEP_SECONDS
TOKENS = 24
URGENT_SHARE = 0.2
MAX_FIRST_TOKEN_SECONDS = 1.3
MAX_TOKEN_GAP_SECONDS = 0.056
WARM_UP_SECONDS = 4.0


class _PriorityCluster(Cluster):
    """A cluster with an urgent and a routine priority class."""

    def _scope(self):
        scope = super()._scope()
        scope["priorities"] = [
            {"name": name, "rank": rank, "first_token_milliseconds": 1300.0}
            for name, rank in (("urgent", 0), ("routine", 2))
        ]
        (pipeline,) = scope["pipelines"]
        scope["pipelines"] = [
            {**pipeline, "name": name, "default_priority": name}
            for name in ("urgent", "routine")
        ]
        return scope


class _Answer:
    """One answer, read in a thread, with the arrival times of its tokens."""

    def __init__(self, address, priority, number):
        self.priority = priority
        self.times = []
        self.code = None
        self._address = address
        self._number = number
        self.started = time.monotonic()
        self.thread = threading.Thread(target=self._read, daemon=True)
        self.thread.start()

    def _read(self):
        body = {
            "model": self.priority,
            "stream": True,
            "max_tokens": TOKENS,
            "messages": [{"role": "user", "content": f"n{self._number}"}],
        }
        client = HostClient(self._address, CUSTOMER_KEY)
        try:
            lines = client.stream("POST", "/v1/chat/completions", body)
            for line in lines:
                if line.startswith(b"data: {"):
                    self.times.append(time.monotonic())
        except ApricotseamError as error:
            self.code = error.code


def run(parameters, variant, seed):
    """Return latencies of urgent requests alone and beside routine ones.

    Urgent requests ask for 0.2 times the engines' bound; routine requests
    raise the load to 1.5 times the bound. The variant ``open`` replaces
    admission by one that admits everything.
    """
    prelude = "" if variant == "product" else _OPEN_PRELUDE
    engines = replicated_engines(
        LAYER_RANGES, LAYERS, ENGINES_PER_RANGE, STEP_SECONDS
    )
    for engine in engines:
        engine.options = msgspec.structs.replace(
            engine.options, max_batch=MAX_BATCH
        )
    figures = []
    with _PriorityCluster(
        engines,
        LAYERS,
        zones=("a", "a"),
        in_process=False,
        prelude=prelude,
    ) as cluster:
        for name, routine_share in (("alone", 0.0), ("with_routine", 1.3)):
            answers = _send_load(
                cluster, routine_share, parameters["seconds"], seed
            )
            figures += _figures(name, answers, variant)
    return figures


def _send_load(cluster, routine_share, seconds, seed):
    """Send urgent and routine requests; return answers after the warm-up.

    Parameters
    ----------
    cluster : Cluster
        Hosts to send to.
    routine_share : float
        Routine load as a share of the engines' bound.
    seconds : float
        Time during which requests are sent.
    seed : int
        Seed of arrivals and choice of hosts.
    """
    generator = random.Random(seed)
    arrivals = [
        (at, priority)
        for priority, bound_share in (
            ("urgent", URGENT_SHARE),
            ("routine", routine_share),
        )
        if bound_share
        for at in poisson(
            generator,
            bound_share * BOUND_TOKENS_PER_SECOND / TOKENS,
            0.0,
            seconds,
        )
    ]
    started = time.monotonic()
    answers = []
    for number, (at, priority) in enumerate(sorted(arrivals)):
        time.sleep(max(0.0, started + at - time.monotonic()))
        address = generator.choice(cluster.addresses)
        answer = _Answer(address, priority, number)
        if at >= WARM_UP_SECONDS:
            answers.append(answer)
    for answer in answers:
        with contextlib.suppress(RuntimeError):
            answer.thread.join(20.0)
    return answers


def _figures(name, answers, variant):
    urgent = [a for a in answers if a.priority == "urgent"]
    first_token_delays = [a.times[0] - a.started for a in urgent if a.times]
    gaps = [
        later - earlier
        for a in urgent
        for earlier, later in zip(a.times, a.times[1:], strict=False)
    ]
    start = min(a.started for a in answers)
    end = max(a.started for a in answers)
    tokens = sum(start <= at < end for a in answers for at in a.times)
    seconds = end - start
    is_product = variant == "product"
    refused = sum(a.code is not None for a in urgent)
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
            value=refused / max(1, len(urgent)),
            unit="ratio",
        ),
        Figure(
            name=f"tokens_over_bound_{name}",
            value=tokens / seconds / BOUND_TOKENS_PER_SECOND,
            unit="ratio",
        ),
    ]


# Replaces admission in a host process.
_OPEN_PRELUDE = """
from apricotseam.admission import OpenAdmission
from apricotseam.host import _policy
_policy.FairAdmission = lambda *values, **named: OpenAdmission()
"""
