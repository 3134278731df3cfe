"""From the death of an entry host to the next token at another host."""

import time

from apricotseam.client import ResumingAnswer
from measure._engines import Cluster
from measure._engines import even_engines
from measure._figure import Figure
from measure._readers import percentile
from measure._readers import TimedAnswer

RANGES = ((0, 3), (4, 7))
LAYERS = 8


class _RunAgain(ResumingAnswer):
    """A caller that does not send back the tokens that it has."""

    sends_back = False


def run(parameters, variant, seed):
    """Return the gaps that callers see when their host is killed.

    The variant ``run_again`` has the new host run the answer from its
    beginning instead of replaying the tokens that the caller has.
    """
    kind = _RunAgain if variant == "run_again" else ResumingAnswer
    engines = even_engines(RANGES, LAYERS, 2, parameters["step_seconds"])
    gaps = []
    broken = 0
    zones = ("a", "a")
    with Cluster(engines, LAYERS, zones=zones, in_process=False) as cluster:
        for trial in range(parameters["trials"]):
            one_gaps, one_broken = _trial(
                cluster, parameters, f"{seed}-{trial}", kind
            )
            gaps += one_gaps
            broken += one_broken
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


def _trial(cluster, parameters, label, kind):
    first, second = cluster.hosts[-2:]
    addresses = [h.settings.callers_address for h in (first, second)]
    readers = [
        TimedAnswer(
            addresses, f"{label}-{n}", parameters["tokens"], LAYERS, kind
        ).start()
        for n in range(parameters["streams"])
    ]
    for reader in readers:
        reader.wait_for(parameters["tokens"] // 2)
    moment = time.monotonic()
    first.kill()
    for reader in readers:
        reader.join()
    cluster.hosts.remove(first)
    cluster.add_host(f"entry-{label}", "a")
    cluster.wait_ready()
    gaps = [reader.gap_after(moment) for reader in readers]
    broken = sum(not reader.is_whole for reader in readers)
    return [gap for gap in gaps if gap is not None], broken
