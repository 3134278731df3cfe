"""Settings from the template, with unknown and with invalid fields."""

import pathlib
import re

import pytest

from apricotseam.errors import InvalidFileError
from apricotseam.node._settings import with_link
from apricotseam.node import load_node_settings

TEMPLATE = pathlib.Path(__file__).parents[3] / "deploy" / "settings.yaml.tmpl"
TEMPLATE_VALUES = {
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


def substitute(match):
    """Return the value that replaces a placeholder of the template."""
    value = TEMPLATE_VALUES.get(match[1], '"10.0.0.1:80"')
    return value if match[2] else value.strip('"')


def test_template_gives_valid_settings():
    placeholder = r"\{\{([A-Za-z_.0-9]+)(\|json)?\}\}"
    text = re.sub(placeholder, substitute, TEMPLATE.read_text())
    settings = load_node_settings(text)
    assert settings.host == "edge-1"
    assert settings.bounds.stop_seconds == 8.0
    assert settings.bounds.retry_slack == 200.0
    assert settings.seeds == ["10.0.0.1:90"]


VALID_SETTINGS = """
host: h
zone: a
callers_address: 10.0.0.1:1
readiness_address: 10.0.0.1:2
directory_address: 10.0.0.1:3
peers_address: 10.0.0.1:4
store_address: 10.0.0.1:5
"""


# Setting, environment, resulting link.
LINKS = [
    ("", {}, None),
    ("", {"APRICOTSEAM_LINK_MBPS": "100"}, 100.0),
    ("link_mbps: 7\n", {"APRICOTSEAM_LINK_MBPS": "100"}, 7.0),
]


@pytest.mark.parametrize(("text", "environment", "link_mbps"), LINKS)
def test_link_of_the_settings_or_the_environment(text, environment, link_mbps):
    settings = load_node_settings(VALID_SETTINGS + text)
    assert with_link(settings, environment).link_mbps == link_mbps


@pytest.mark.parametrize("text", ["fast", "-1", "nan"])
def test_an_invalid_link_is_refused(text):
    settings = load_node_settings(VALID_SETTINGS)
    with pytest.raises(InvalidFileError):
        with_link(settings, {"APRICOTSEAM_LINK_MBPS": text})


def test_unknown_fields_are_ignored():
    assert load_node_settings(VALID_SETTINGS + "later: 1\n").host == "h"


@pytest.mark.parametrize(
    ("text", "switch"),
    [("auto", "auto"), ("on", "on"), ("off", "off"), ("'off'", "off")],
)
def test_switches_may_be_written_without_quotes(text, switch):
    """Guards against YAML, which reads on and off as truth values."""
    settings = load_node_settings(
        VALID_SETTINGS + f"load:\n  pacing: {text}\n"
    )
    assert settings.load.pacing == switch


# Description, text of the settings, part of the error message.
INVALID_SETTINGS = [
    ("switch", VALID_SETTINGS + "load:\n  pacing: often\n", "load.pacing"),
    ("missing field", VALID_SETTINGS.replace("zone: a", ""), "zone"),
    (
        "wrong type",
        VALID_SETTINGS + "bounds: {stop_seconds: soon}\n",
        "stop_seconds",
    ),
    ("not YAML", "host: [", "<settings>"),
    ("not a mapping", "- a", "<settings>"),
]


@pytest.mark.parametrize(
    ("text", "mentioned"),
    [c[1:] for c in INVALID_SETTINGS],
    ids=[c[0] for c in INVALID_SETTINGS],
)
def test_wrong_settings_name_the_field(text, mentioned):
    with pytest.raises(InvalidFileError) as error:
        load_node_settings(text)
    assert mentioned in str(error.value)
    assert "remedy" in str(error.value)
