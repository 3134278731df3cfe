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
    """Engines, links and request classes, the most urgent class first.

    ``zone_kinds`` holds the kinds of the targets of each zone, repeated as
    often as needed; ``zone_shares`` holds the share of the targets in each
    zone, empty for equal shares. Further zones begin with the first again.
    """

    profile: EngineProfile
    classes: list[RequestClass]
    pipe_megabits_per_second: float
    zone_kinds: tuple[tuple[str, ...], ...] = (KIND_ORDER,)
    zone_shares: tuple[float, ...] = ()

    def place_targets(self, count, zones):
        """Return the zone and kind of each target, zone after zone in turn.

        Parameters
        ----------
        count : int
            Number of targets.
        zones : list of str
            Names of the zones.
        """
        repeats = len(zones)
        shares = (self.zone_shares or (1.0,)) * repeats
        kinds = (self.zone_kinds * repeats)[:repeats]
        placed = [0] * len(zones)
        targets = []
        for _ in range(count):
            # The zone that is furthest below its share comes next.
            number = min(
                range(len(zones)), key=lambda n: (placed[n] / shares[n], n)
            )
            kind = kinds[number][placed[number] % len(kinds[number])]
            targets.append((zones[number], kind))
            placed[number] += 1
        return targets


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

# The two deployments of docs/design/hard-load.md. Most of the fastest targets
# are in the zone with the fewest. The page states no rate of reading: at this
# one a usual prompt takes 77 to 430 ms of an objective of 500 ms, by kind.
# Further numbers that it does not state are those of `AMPLE`.
_FAST_ZONE = ("large", "large", "middle")
_SLOW_ZONE = ("small", "middle", "small", "middle", "small", "small")
_HARD_PROFILE = msgspec.structs.replace(
    AMPLE.profile,
    token_bytes=720000.0,
    activation_bytes=36000.0,
    read_tokens_per_second=25000.0,
    chunk_tokens=128,
)

# Three classes, of which the least urgent one has another objective.
MIXED = Deployment(
    profile=msgspec.structs.replace(
        _HARD_PROFILE,
        tokens_per_event=4,
        usual_prompt_tokens=717.0,
        usual_answer_tokens=212.0,
        inter_zone_mbps=4100.0,
    ),
    classes=[
        RequestClass(
            name=name,
            priority=priority,
            share=share,
            prompt=prompt,
            answer=4.0 * events,
            objective_seconds=objective_seconds,
            pause_seconds=0.25,
            worth=worth,
            late_worth=late_worth,
        )
        for (
            name,
            priority,
            share,
            prompt,
            events,
            objective_seconds,
            worth,
            late_worth,
        ) in (
            ("interactive", 0, 0.3, 674.0, 43.0, 0.5, 2.7, 0.27),
            ("standard", 1, 0.45, 717.0, 53.0, 0.5, 1.5, 0.38),
            ("background", 2, 0.25, 760.0, 63.0, 1.0, 0.81, 0.3),
        )
    ],
    pipe_megabits_per_second=4100.0,
    zone_kinds=(KIND_ORDER, _SLOW_ZONE, _FAST_ZONE),
    zone_shares=(0.43, 0.34, 0.23),
)

# One class, slower kinds and a narrow link between zones.
NARROW = Deployment(
    profile=msgspec.structs.replace(
        _HARD_PROFILE,
        kinds=(
            msgspec.structs.replace(KINDS[0], step_factor=3.1),
            msgspec.structs.replace(KINDS[1], read_factor=5.6),
            msgspec.structs.replace(KINDS[2], read_factor=15.0),
        ),
        tokens_per_event=2,
        usual_prompt_tokens=717.0,
        usual_answer_tokens=142.0,
        inter_zone_mbps=790.0,
    ),
    classes=[
        RequestClass(
            name="standard",
            priority=1,
            share=1.0,
            prompt=717.0,
            answer=142.0,
            objective_seconds=0.5,
            pause_seconds=0.25,
            worth=2.0,
            late_worth=0.5,
        )
    ],
    pipe_megabits_per_second=790.0,
    zone_kinds=MIXED.zone_kinds,
    zone_shares=MIXED.zone_shares,
)

DEPLOYMENTS = {
    "tight": TIGHT,
    "ample": AMPLE,
    "mixed": MIXED,
    "narrow": NARROW,
}


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
