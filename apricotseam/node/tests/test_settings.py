"""Settings: as the template gives them, unknown and wrong fields."""

import pathlib
import re

import pytest

from apricotseam.errors import InvalidFileError
from apricotseam.node import load_node_settings

TEMPLATE = pathlib.Path(__file__).parents[3] / "deploy" / "settings.yaml.tmpl"
VALUES = {
    "NodeName": '"edge-1"',
    "Zone": '"a"',
    "Region": '"r"',
    "Seeds": '["10.0.0.1:90"]',
    "Bounds.stall_ms": "3000",
    "Bounds.DrainMs": "2000",
    "Bounds.ConfigApplyMs": "2000",
    "Bounds.ttl_max_s": "5",
    "Bounds.GraceS": "8",
    "Bounds.RetryRatio": "0.2",
    "Bounds.RetrySlack": "200",
    "Bounds.RetryWindowS": "10",
}


def fill(match):
    """Return what stands for a placeholder."""
    value = VALUES.get(match[1], '"10.0.0.1:80"')
    return value if match[2] else value.strip('"')


def test_template_gives_valid_settings():
    placeholder = r"\{\{([A-Za-z_.0-9]+)(\|json)?\}\}"
    text = re.sub(placeholder, fill, TEMPLATE.read_text())
    settings = load_node_settings(text)
    assert settings.host == "edge-1"
    assert settings.bounds.stop_seconds == 8.0
    assert settings.bounds.retry_slack == 200.0
    assert settings.seeds == ["10.0.0.1:90"]


GOOD = """
host: h
zone: a
callers_address: 10.0.0.1:1
readiness_address: 10.0.0.1:2
directory_address: 10.0.0.1:3
peers_address: 10.0.0.1:4
store_address: 10.0.0.1:5
"""


def test_unknown_fields_are_ignored():
    assert load_node_settings(GOOD + "later: 1\n").host == "h"


WRONG = [
    ("missing field", GOOD.replace("zone: a", ""), "zone"),
    ("wrong type", GOOD + "bounds: {stop_seconds: soon}\n", "stop_seconds"),
    ("no YAML", "host: [", "<settings>"),
    ("no mapping", "- a", "<settings>"),
]


@pytest.mark.parametrize(
    ("text", "named"), [c[1:] for c in WRONG], ids=[c[0] for c in WRONG]
)
def test_wrong_settings_name_the_field(text, named):
    with pytest.raises(InvalidFileError) as error:
        load_node_settings(text)
    assert named in str(error.value)
    assert "remedy" in str(error.value)
