"""Time of a plan and of a placement by the number of targets."""

import random
import time

from apricotseam.config import Model
from apricotseam.pipelines import Holder
from apricotseam.pipelines import plan_chains
from apricotseam.pipelines import plan_placement
from apricotseam.pipelines import Stage
from measure._figure import Figure

LAYERS = 32
RANGES = ((0, 15), (16, 31), (0, 7), (8, 15), (16, 23), (24, 31))
SPEEDS = (12_000.0, 24_000.0, 48_000.0, 96_000.0)
LINK_RATES = (600.0, 6_000.0, 60_000.0)
ZONES = 7
LOADS_PER_MINUTE = 6.0


def run(parameters, variant, seed):
    """Return milliseconds for each number of targets."""
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
        began = time.process_time()
        plan = plan_chains(model, "v1", stages, rates, links)
        spent = time.process_time() - began
        figures += _of_plan(count, plan, spent)
    for count in parameters["holders"]:
        holders = [_holder(n, generator) for n in range(count)]
        began = time.process_time()
        plan_placement(model, holders, {}, LOADS_PER_MINUTE, 0.0, 1)
        figures.append(
            Figure(
                name=f"first move of {count} accelerators",
                value=1000 * (time.process_time() - began),
                unit="ms",
            )
        )
    return figures


def _of_plan(count, plan, spent):
    return [
        Figure(name=f"plan of {count} targets", value=1000 * spent, unit="ms"),
        Figure(
            name=f"planned over bound, {count} targets",
            value=plan.planned / plan.bound,
            unit="",
        ),
    ]


def _holder(number, generator):
    first, last = generator.choice(RANGES)
    return Holder(
        target=f"t{number}",
        availability_zone=f"z{generator.randrange(ZONES)}",
        layer_tokens_per_second=generator.choice(SPEEDS),
        memory_layers=last - first + 1,
        first=first,
        last=last,
    )


def _links(generator, count):
    """Return links that grow with the number of targets."""
    names = [f"z{n}" for n in range(ZONES)]
    return {
        frozenset((a, b)): generator.choice(LINK_RATES) * count / 100
        for a in names
        for b in names
        if a < b
    }
