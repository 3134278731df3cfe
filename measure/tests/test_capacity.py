"""The capacity page worked from slopes."""

import math
import pathlib

import msgspec
import pytest

from measure._capacity import busy_cores
from measure._capacity import control_totals
from measure._capacity import Costs
from measure._capacity import processes
from measure._capacity import request_cores
from measure._capacity_page import CARRIERS
from measure._capacity_page import over_bound
from measure._capacity_page import write_page
from measure._experiment import Experiment
from measure._figure import Figure
from measure._fleet import load_fleet
from measure._results import Outcome
from measure._results import results_here
from measure._roles import roles

PAGE = pathlib.Path(__file__).parents[2] / "docs" / "CAPACITY.md"
FLEET = msgspec.structs.replace(
    load_fleet(),
    hosts=10,
    requests_per_second=100,
    tokens_per_second=1000,
    stages=4,
)


def costs(values):
    """Return costs with the given figures by experiment and name."""
    outcomes = [
        Outcome(
            experiment=experiment,
            kind="slopes",
            variant=variant,
            seed=1,
            parameters={},
            revision="r",
            started=0.0,
            seconds=0.0,
            figures=[Figure(name=name, value=value, unit="ms")],
        )
        for (experiment, name, variant), value in values.items()
    ]
    experiments = {
        name: Experiment(
            name=name,
            kind="slopes",
            variants=["product", "old"],
            seeds=[1],
            about="",
        )
        for name in {key[0] for key in values}
    }
    return Costs(results_here(outcomes), experiments)


def test_cores_follow_from_requests_tokens_and_stages():
    stages = "processor time of a token by stages"
    request = "processor time of a token over two stages: at none"
    known = costs(
        {
            ("slopes-requests", stages, "product"): 0.5,
            ("slopes-requests", stages, "old"): 99.0,
            ("slopes-requests", f"{stages}: at none", "product"): 1.0,
            ("slopes-requests", request, "product"): 2.0,
        }
    )
    # 10 requests of 2 ms and 100 tokens of 1 + 4 * 0.5 ms.
    assert request_cores(FLEET, known) == pytest.approx(0.32)
    assert math.isnan(busy_cores(FLEET, known))
    assert processes(FLEET, 0.32) == 1
    assert processes(FLEET, 7.1) == math.ceil(7.1 / FLEET.busy_share)


def test_what_is_over_its_bound_is_named_with_its_carrier():
    known = costs({("imports", "resident after imports", "product"): 65.0})
    listed = roles(FLEET, known)
    assert control_totals(listed) == (0.0, 65.0, 0.0)
    row, of_all = over_bound(FLEET, known, listed)
    assert row[:3] == ("memory of control", 65.0, 64)
    assert of_all[1:3] == (65.0, 64)
    page = write_page(PAGE.read_text(), FLEET, known)
    assert f"bound 64. To carry it: {CARRIERS['memory of control']}." in page
    assert "Not measured in full:" in page
    assert "nan" not in page


def test_every_role_of_the_letter_is_on_the_page():
    names = " ".join(role.name for role in roles(FLEET, costs({})))
    for part in (
        "caller listener",
        "request path",
        "peers",
        "configuration reader",
        "target table",
        "admission",
        "execution home",
        "orderer",
        "operators' listener",
    ):
        assert part in names
