"""Engines, request classes and customers of the emulated deployment."""

import msgspec

from apricotseam.routes import AcceleratorKind
from apricotseam.routes import EngineProfile
from measure.emulator._workload import CustomerSpec
from measure.emulator._workload import RequestClass

SERVICE = "model"
CUSTOMERS = 10

KINDS = (
    AcceleratorKind(
        name="large", memory_mb=72000.0, step_factor=2.4, read_factor=3.2
    ),
    AcceleratorKind(
        name="middle", memory_mb=43200.0, step_factor=5.6, read_factor=2.7
    ),
    AcceleratorKind(
        name="small", memory_mb=21600.0, step_factor=16.0, read_factor=8.2
    ),
)
# Kinds of the targets of a zone, repeated as often as needed.
KIND_ORDER = ("large", "middle", "small", "middle", "small", "small")


class Deployment(msgspec.Struct, frozen=True, kw_only=True):
    """Engines, links and request classes, the most urgent class first."""

    profile: EngineProfile
    classes: list[RequestClass]
    pipe_megabits_per_second: float


# Few tokens fit in memory, an event has six of them.
TIGHT = Deployment(
    profile=EngineProfile(
        layers=80,
        layer_mb=1750.0,
        token_bytes=1836000.0,
        kinds=KINDS,
        slots=96,
        step_ms=1.02,
        step_ms_per_request=0.01428,
        step_ms_per_1000_tokens=0.01912,
        read_tokens_per_second=128000.0,
        read_ms_per_million_pairs=0.309,
        tokens_per_event=6,
        load_seconds=14.0,
        usual_prompt_tokens=760.0,
        usual_answer_tokens=200.0,
        simultaneous_loads=5,
        activation_bytes=91800.0,
        inter_zone_mbps=18000.0,
    ),
    classes=[
        RequestClass(name="interactive", priority=0, share=0.3, answer=150.0),
        RequestClass(name="standard", priority=1, share=0.5, answer=200.0),
        RequestClass(name="background", priority=2, share=0.2, answer=250.0),
    ],
    pipe_megabits_per_second=18000.0,
)

# Twice as many tokens fit, an event has three of them.
AMPLE = Deployment(
    profile=msgspec.structs.replace(
        TIGHT.profile,
        token_bytes=918000.0,
        slots=192,
        step_ms_per_request=0.00714,
        step_ms_per_1000_tokens=0.00956,
        read_tokens_per_second=105000.0,
        tokens_per_event=3,
        activation_bytes=45900.0,
        inter_zone_mbps=26000.0,
    ),
    classes=[
        msgspec.structs.replace(kind, objective_seconds=0.5, pause_seconds=0.2)
        for kind in TIGHT.classes
    ],
    pipe_megabits_per_second=26000.0,
)

DEPLOYMENTS = {"tight": TIGHT, "ample": AMPLE}


def make_customers(first_share=None):
    """Return customers of equal shares.

    Parameters
    ----------
    first_share : float, optional
        Fraction of all requests that the first customer sends.
    """
    if first_share is None:
        first_share = 1.0 / CUSTOMERS
    other_share = (1.0 - first_share) / (CUSTOMERS - 1)
    return [
        CustomerSpec(f"customer-{n}", other_share if n else first_share)
        for n in range(CUSTOMERS)
    ]
