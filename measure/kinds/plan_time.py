"""Processor time of planning chains and placements, by target count."""

import random
import time

from apricotseam.config import Model
from apricotseam.pipelines import Holder
from apricotseam.pipelines import plan_chains
from apricotseam.pipelines import plan_placement
from apricotseam.pipelines import Stage
from measure._figure import Figure

LAYERS = 32
LAYER_RANGES = ((0, 15), (16, 31), (0, 7), (8, 15), (16, 23), (24, 31))
LAYER_TOKENS_PER_SECOND = (12_000.0, 24_000.0, 48_000.0, 96_000.0)
LINK_TOKENS_PER_SECOND = (600.0, 6_000.0, 60_000.0)
ZONE_COUNT = 7
LOADS_PER_MINUTE = 6.0


def run(parameters, variant, seed):
    """Measure planning at several sizes.

    Parameters
    ----------
    parameters : dict
        ``targets``: numbers of targets for which chains are planned;
        ``holders``: numbers of accelerators for which the first move of a
        placement is planned.
    variant : str
        Not used.
    seed : int
        Seed of layer ranges, speeds, zones and link rates.
    """
    generator = random.Random(seed)
    model = Model(name="m", layers=LAYERS, versions=["v1"], serving="v1")
    figures = []
    for count in parameters["targets"]:
        holders = [_holder(n, generator) for n in range(count)]
        links = _links(generator, count)
        stages = [
            Stage(h.target, h.target, h.availability_zone, h.first, h.last)
            for h in holders
        ]
        rates = {
            h.target: h.layer_tokens_per_second / (h.last - h.first + 1)
            for h in holders
        }
        started = time.process_time()
        plan = plan_chains(model, "v1", stages, rates, links)
        processor_seconds = time.process_time() - started
        figures += _plan_figures(count, plan, processor_seconds)
    for count in parameters["holders"]:
        holders = [_holder(n, generator) for n in range(count)]
        started = time.process_time()
        plan_placement(model, holders, {}, LOADS_PER_MINUTE, 0.0, 1)
        figures.append(
            Figure(
                name=f"first move of {count} accelerators",
                value=1000 * (time.process_time() - started),
                unit="ms",
            )
        )
    return figures


def _plan_figures(count, plan, processor_seconds):
    return [
        Figure(
            name=f"plan of {count} targets",
            value=1000 * processor_seconds,
            unit="ms",
        ),
        Figure(
            name=f"planned over bound, {count} targets",
            value=plan.planned / plan.bound,
            unit="",
        ),
    ]


def _holder(number, generator):
    first, last = generator.choice(LAYER_RANGES)
    return Holder(
        target=f"t{number}",
        availability_zone=f"z{generator.randrange(ZONE_COUNT)}",
        layer_tokens_per_second=generator.choice(LAYER_TOKENS_PER_SECOND),
        memory_layers=last - first + 1,
        first=first,
        last=last,
    )


def _links(generator, count):
    """Return the tokens per second of the link between every two zones.

    The rates are proportional to the number of targets.
    """
    names = [f"z{n}" for n in range(ZONE_COUNT)]
    return {
        frozenset((a, b)): generator.choice(LINK_TOKENS_PER_SECOND)
        * count
        / 100
        for a in names
        for b in names
        if a < b
    }
