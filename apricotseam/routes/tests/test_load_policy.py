"""Which deployments ask for decisions under load."""

import msgspec
import pytest

from apricotseam.routes import AcceleratorKind
from apricotseam.routes import EngineProfile
from apricotseam.routes import LoadFeatures
from apricotseam.routes import LoadPolicy
from apricotseam.routes import RepeatPolicy
from apricotseam.routes import Route
from apricotseam.routes import RouteTable
from apricotseam.routes import Service
from apricotseam.routes import ServiceShare

ALL = LoadFeatures(True, True, True)
WITHOUT_SHARES = LoadFeatures(True, False, True)
NONE = LoadFeatures()
EVEN = (3.2, 8.2)
UNEVEN = (3.2, 15.0)

CASES = [
    # priorities, read factors, settings, expected
    ((1, 1, 1), EVEN, {}, NONE),
    ((0, 1, 2), EVEN, {}, ALL),
    ((1, 1, 1), UNEVEN, {}, WITHOUT_SHARES),
    ((0, 1, 2), EVEN, {"start_estimates": "off"}, NONE),
    ((1, 1), EVEN, {"start_estimates": "on"}, WITHOUT_SHARES),
    ((0, 1), EVEN, {"pacing": "off"}, LoadFeatures(True, True, False)),
    ((1,), UNEVEN, {"fair_shares": "on"}, ALL),
    ((1,), EVEN, {"fair_shares": "on", "pacing": "on"}, NONE),
]


def make_service(read_factors):
    kinds = tuple(
        AcceleratorKind(name=f"k{n}", memory_mb=1.0, read_factor=factor)
        for n, factor in enumerate(read_factors)
    )
    profile = EngineProfile(
        layers=8, layer_mb=1.0, token_bytes=8, kinds=kinds, slots=1, step_ms=1
    )
    return Service(name="model", engine=profile)


def make_route(number, priority, repeat=RepeatPolicy.STREAM):
    return Route(
        name=f"r{number}",
        host="h",
        prefix=f"/{number}/",
        repeat=repeat,
        shares=(ServiceShare("model", 1.0),),
        timeout_seconds=20.0,
        priority=priority,
    )


@pytest.mark.parametrize(
    ("priorities", "factors", "settings", "expected"), CASES
)
def test_parts_follow_configuration_and_settings(
    priorities, factors, settings, expected
):
    """Guards against parts that change deployments which ask for none."""
    service = make_service(factors)
    routes = [make_route(*item) for item in enumerate(priorities)]
    routes.append(make_route(9, 7, RepeatPolicy.IDEMPOTENT))
    table = RouteTable(routes=routes, services=[service])
    policy = msgspec.convert(settings, LoadPolicy)
    assert policy.features(table, service) == expected
    assert policy.features(table, Service(name="plain")) == NONE
