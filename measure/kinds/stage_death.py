"""From the death of a stage to the next token of each answer."""

import logging
import random
import time

from apricotseam.pipelines import _timeouts

from measure._engines import Cluster
from measure._engines import even_engines
from measure._figure import Figure
from measure._readers import percentile
from measure._readers import TimedAnswer

RANGES = ((0, 3), (4, 7))
LAYERS = 8


class _Parts(logging.Handler):
    """Collects the parts of each recovery from the log."""

    def __init__(self):
        super().__init__()
        self.parts = []

    def emit(self, record):
        if record.msg == "stage_recovered":
            self.parts.append((record.detect, record.choose, record.rebuild))


def run(parameters, variant, seed):
    """Return the recovery times with engines that are killed or stopped.

    The variant ``fixed_timeout`` waits the whole bound of the settings.
    """
    adaptive = _timeouts.MIN_TIMEOUT_SECONDS
    if variant == "fixed_timeout":
        _timeouts.MIN_TIMEOUT_SECONDS = 1e9
    handler = _Parts()
    logger = logging.getLogger("apricotseam.pipelines")
    logger.setLevel(logging.INFO)
    logger.addHandler(handler)
    try:
        gaps, broken, answers = _trials(parameters, seed)
    finally:
        _timeouts.MIN_TIMEOUT_SECONDS = adaptive
        logger.removeHandler(handler)
    return _figures(gaps, broken, answers, handler.parts)


def _trials(parameters, seed):
    engines = even_engines(RANGES, LAYERS, 3, parameters["step_seconds"])
    generator = random.Random(seed)
    gaps = []
    broken = answers = 0
    with Cluster(engines, LAYERS) as cluster:
        _warm(cluster, parameters["tokens"])
        for trial in range(parameters["trials"]):
            mode = ("kill", "pause")[trial % 2]
            one_gaps, one_broken = _trial(
                cluster, parameters, generator, trial, mode
            )
            gaps += one_gaps
            broken += one_broken
            answers += parameters["streams"]
    return gaps, broken, answers


def _warm(cluster, tokens):
    """Have the host observe step times of every engine."""
    for number in range(8):
        answer = TimedAnswer(cluster.addresses, f"w{number}", tokens, LAYERS)
        answer.start().join()


def _trial(cluster, parameters, generator, trial, mode):
    readers = [
        TimedAnswer(
            cluster.addresses,
            f"{trial}-{number}",
            parameters["tokens"],
            LAYERS,
        ).start()
        for number in range(parameters["streams"])
    ]
    for reader in readers:
        reader.wait_for(3 + trial % 5)
    used = [e for e in cluster.engines if cluster.running(e)]
    engine = generator.choice(used)
    count = cluster.running(engine)
    moment = time.monotonic()
    getattr(engine, mode)()
    for reader in readers:
        reader.join()
    if mode == "kill":
        engine.start()
    else:
        engine.resume()
    cluster.wait_ready()
    waits = [reader.gap_after(moment) for reader in readers]
    waits = sorted((w for w in waits if w is not None), reverse=True)
    return waits[:count], sum(not r.is_whole for r in readers)


def _figures(gaps, broken, answers, parts):
    figures = [
        Figure(
            name="stage death to next token, 95th percentile",
            value=percentile(gaps, 0.95),
            unit="s",
            bound=1.0,
        ),
        Figure(
            name="stage death to next token, median",
            value=percentile(gaps, 0.5),
            unit="s",
        ),
        Figure(name="answers hit", value=len(gaps), unit=""),
        Figure(name="answers", value=answers, unit=""),
        Figure(
            name="answers with lost or repeated tokens",
            value=broken,
            unit="",
            bound=0.0,
        ),
    ]
    for index, name in enumerate(("detect", "choose", "rebuild")):
        figures.append(
            Figure(
                name=f"{name}, 95th percentile",
                value=percentile([p[index] for p in parts], 0.95),
                unit="s",
            )
        )
    return figures
