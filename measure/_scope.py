"""Scope files for experiments."""

import hashlib
import pathlib

import msgspec
import yaml

from apricotseam.config import load_scope_file

EXAMPLES_FOLDER = pathlib.Path(__file__).parent.parent / "examples"
KEY_PREFIX = "demo-key-"
ZONES = tuple(f"zone-{letter}" for letter in "abcdefg")
DEFAULT_ZONE_COUNT = 3


def example_scope(name):
    """Return one of the example scopes as plain data."""
    text = (EXAMPLES_FOLDER / f"{name}.yaml").read_text()
    return msgspec.to_builtins(load_scope_file(text))


def synthetic_scope(
    *,
    chains=2,
    stages=2,
    layers=32,
    customers=10,
    services=1,
    models=1,
    zones=DEFAULT_ZONE_COUNT,
):
    """Return a generated scope of the given size as plain data.

    Parameters
    ----------
    chains : int
        Number of engines that hold each range of layers.
    stages : int
        Number of ranges that the layers are split into.
    layers : int
        Number of layers of each model.
    customers : int
        Number of customers.
    services : int
        Number of servers of the only service.
    models : int
        Number of models, each with its own engines and pipeline.
    zones : int
        Number of availability zones, at most seven.
    """
    names = [f"model-{number}" for number in range(models)]
    groups = [
        _engine_group(name, chains, stages, layers, ZONES[:zones])
        for name in names
    ]
    groups.append(_service_group(services, ZONES[:zones]))
    return {
        "scope": "measured",
        "models": [
            {"name": n, "layers": layers, "versions": ["v1"], "serving": "v1"}
            for n in names
        ],
        "groups": groups,
        "priorities": [{"name": "routine", "rank": 1}],
        "pipelines": [
            {
                "name": f"answers-{number}",
                "model": name,
                "group": f"engines-of-{name}",
                "default_priority": "routine",
                "max_tokens": 4096,
            }
            for number, name in enumerate(names)
        ],
        "services": [_service()],
        "customers": [_customer(number) for number in range(customers)],
    }


def dump_scope(scope):
    """Return a scope as the text of a scope file."""
    dumper = getattr(yaml, "CSafeDumper", yaml.SafeDumper)
    return yaml.dump(scope, Dumper=dumper, sort_keys=False)


def _engine_group(model, chains, stages, layers, zones):
    layers_per_stage = layers // stages
    targets = []
    for chain in range(chains):
        for stage in range(stages):
            first = stage * layers_per_stage
            last = (
                layers - 1
                if stage == stages - 1
                else first + layers_per_stage - 1
            )
            number = chain * stages + stage
            targets.append(
                {
                    "name": f"{model}-engine-{number}",
                    "address": _address(1, number),
                    "availability_zone": zones[chain % len(zones)],
                    "layers": {"first": first, "last": last},
                }
            )
    return {
        "name": f"engines-of-{model}",
        "kind": "engine",
        "model": model,
        "targets": targets,
    }


def _service_group(count, zones):
    targets = [
        {
            "name": f"server-{number}",
            "address": _address(2, number),
            "availability_zone": zones[number % len(zones)],
        }
        for number in range(count)
    ]
    return {"name": "servers", "kind": "service", "targets": targets}


def _service():
    calls = [
        {"method": "GET", "path": "/", "idempotent": True},
        {"method": "POST", "path": "/", "idempotent": False},
    ]
    return {
        "name": "desk",
        "group": "servers",
        "calls": [{**call, "priority": "routine"} for call in calls],
    }


def _customer(number):
    name = f"customer-{number}"
    key = f"{KEY_PREFIX}{name}"
    return {
        "name": name,
        "requests_per_second": 1e6,
        "tokens_per_second": 1e9,
        "key_hashes": [hashlib.sha256(key.encode()).hexdigest()],
    }


def _address(network, number):
    return f"10.{network}.{number // 250}.{number % 250 + 1}:8000"
