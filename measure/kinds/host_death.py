"""Time from the death of an entry host to the next token from another."""

import time

from apricotseam.client import ResumingAnswer
from measure._engines import Cluster
from measure._engines import replicated_engines
from measure._figure import Figure
from measure._readers import percentile
from measure._readers import TimedAnswer

LAYER_RANGES = ((0, 3), (4, 7))
LAYERS = 8


class _RerunningAnswer(ResumingAnswer):
    """An answer that is resumed without sending back its tokens so far."""

    sends_received_tokens = False


def run(parameters, variant, seed):
    """Measure the gap in the answers of callers whose host is killed.

    With the variant ``run_again``, the caller does not send its tokens to
    the new host, which then runs the answer from its beginning instead of
    replaying them.
    """
    answer_class = (
        _RerunningAnswer if variant == "run_again" else ResumingAnswer
    )
    engines = replicated_engines(
        LAYER_RANGES, LAYERS, 2, parameters["step_seconds"]
    )
    gaps = []
    broken = 0
    zones = ("a", "a")
    with Cluster(engines, LAYERS, zones=zones, in_process=False) as cluster:
        for trial in range(parameters["trials"]):
            trial_gaps, trial_broken = _trial(
                cluster, parameters, f"{seed}-{trial}", answer_class
            )
            gaps += trial_gaps
            broken += trial_broken
    return [
        Figure(
            name="host death to next token, 95th percentile",
            value=percentile(gaps, 0.95),
            unit="s",
            bound=1.0,
        ),
        Figure(
            name="host death to next token, median",
            value=percentile(gaps, 0.5),
            unit="s",
        ),
        Figure(name="answers", value=len(gaps), unit=""),
        Figure(
            name="answers with lost or repeated tokens",
            value=broken,
            unit="",
            bound=0.0,
        ),
    ]


def _trial(cluster, parameters, label, answer_class):
    """Kill the older of two hosts in mid-answer, then start another.

    Returns
    -------
    list of float
        Seconds from the kill to the next token of each unfinished answer.
    int
        Answers with lost or repeated tokens.
    """
    first, second = cluster.hosts[-2:]
    addresses = [h.settings.callers_address for h in (first, second)]
    readers = [
        TimedAnswer(
            addresses,
            f"{label}-{n}",
            parameters["tokens"],
            LAYERS,
            answer_class,
        ).start()
        for n in range(parameters["streams"])
    ]
    for reader in readers:
        reader.wait_for_tokens(parameters["tokens"] // 2)
    killed_at = time.monotonic()
    first.kill()
    for reader in readers:
        reader.join()
    cluster.hosts.remove(first)
    cluster.add_host(f"entry-{label}", "a")
    cluster.wait_ready()
    gaps = [reader.gap_after(killed_at) for reader in readers]
    broken = sum(not reader.is_complete for reader in readers)
    return [gap for gap in gaps if gap is not None], broken
