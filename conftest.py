"""Settings shared by all tests."""

import pathlib

import hypothesis
import pytest

hypothesis.settings.register_profile(
    "fixed", derandomize=True, deadline=None, max_examples=60
)
hypothesis.settings.load_profile("fixed")

KNOWN_RED = pathlib.Path(__file__).parent / "KNOWN-RED.txt"
TEST_FIELD = "test: "


def known_red():
    """Return the identifiers of the tests that KNOWN-RED.txt names."""
    lines = (line.strip() for line in KNOWN_RED.read_text().splitlines())
    return {
        line.removeprefix(TEST_FIELD)
        for line in lines
        if line.startswith(TEST_FIELD)
    }


def pytest_collection_modifyitems(items):
    """Run tests that are known to be red, and pass over their failures."""
    red = known_red()
    for item in items:
        if item.nodeid in red:
            item.add_marker(pytest.mark.xfail(reason="see KNOWN-RED.txt"))
