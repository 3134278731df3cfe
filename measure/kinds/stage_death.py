"""Time from the death of a stage to the next token of each answer."""

import logging
import random
import time

from apricotseam.pipelines import _timeouts

from measure._engines import Cluster
from measure._engines import replicated_engines
from measure._figure import Figure
from measure._readers import percentile
from measure._readers import TimedAnswer

LAYER_RANGES = ((0, 3), (4, 7))
LAYERS = 8


class _RecoveryPhases(logging.Handler):
    """Collects the seconds of each phase of a recovery from the log."""

    def __init__(self):
        super().__init__()
        self.phases = []

    def emit(self, record):
        if record.msg == "stage_recovered":
            self.phases.append((record.detect, record.choose, record.rebuild))


def run(parameters, variant, seed):
    """Measure recovery from engines that are killed or paused.

    The variant ``fixed_timeout`` always waits for the step time-out of the
    settings, instead of one that follows the observed step times.
    """
    default_minimum = _timeouts.MIN_TIMEOUT_SECONDS
    if variant == "fixed_timeout":
        _timeouts.MIN_TIMEOUT_SECONDS = 1e9
    handler = _RecoveryPhases()
    logger = logging.getLogger("apricotseam.pipelines")
    logger.setLevel(logging.INFO)
    logger.addHandler(handler)
    try:
        gaps, broken, answers = _trials(parameters, seed)
    finally:
        _timeouts.MIN_TIMEOUT_SECONDS = default_minimum
        logger.removeHandler(handler)
    return _figures(gaps, broken, answers, handler.phases)


def _trials(parameters, seed):
    engines = replicated_engines(
        LAYER_RANGES, LAYERS, 3, parameters["step_seconds"]
    )
    generator = random.Random(seed)
    gaps = []
    broken = answers = 0
    with Cluster(engines, LAYERS) as cluster:
        _warm_up(cluster, parameters["tokens"])
        for trial in range(parameters["trials"]):
            mode = ("kill", "pause")[trial % 2]
            trial_gaps, trial_broken = _trial(
                cluster, parameters, generator, trial, mode
            )
            gaps += trial_gaps
            broken += trial_broken
            answers += parameters["streams"]
    return gaps, broken, answers


def _warm_up(cluster, tokens):
    """Run some answers, so that the host knows step times of all engines."""
    for number in range(8):
        answer = TimedAnswer(cluster.addresses, f"w{number}", tokens, LAYERS)
        answer.start().join()


def _trial(cluster, parameters, generator, trial, mode):
    """Fail an engine in mid-answer and restore it after all answers ended.

    Returns
    -------
    list of float
        Longest gaps after the failure in seconds, as many as the engine
        had streams.
    int
        Answers with lost or repeated tokens.
    """
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
        reader.wait_for_tokens(3 + trial % 5)
    engines_in_use = [e for e in cluster.engines if cluster.running_streams(e)]
    engine = generator.choice(engines_in_use)
    affected_answers = cluster.running_streams(engine)
    failed_at = time.monotonic()
    getattr(engine, mode)()
    for reader in readers:
        reader.join()
    if mode == "kill":
        engine.start()
    else:
        engine.resume()
    cluster.wait_ready()
    gaps = [reader.gap_after(failed_at) for reader in readers]
    gaps = sorted((gap for gap in gaps if gap is not None), reverse=True)
    return gaps[:affected_answers], sum(not r.is_complete for r in readers)


def _figures(gaps, broken, answers, phases):
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
                value=percentile([phase[index] for phase in phases], 0.95),
                unit="s",
            )
        )
    return figures
