"""Hypothesis profile and expected failures for all tests."""

import pathlib

import hypothesis
import pytest

hypothesis.settings.register_profile(
    "fixed", derandomize=True, deadline=None, max_examples=60
)
hypothesis.settings.load_profile("fixed")

KNOWN_FAILURES_FILE = pathlib.Path(__file__).parent / "KNOWN-RED.txt"
TEST_PREFIX = "test: "


def known_failing_tests():
    """Return the node identifiers of the tests listed in KNOWN-RED.txt."""
    lines = (
        line.strip() for line in KNOWN_FAILURES_FILE.read_text().splitlines()
    )
    return {
        line.removeprefix(TEST_PREFIX)
        for line in lines
        if line.startswith(TEST_PREFIX)
    }


def pytest_collection_modifyitems(items):
    """Mark the tests listed in KNOWN-RED.txt as expected to fail.

    They still run; one that passes is reported as an unexpected pass.
    """
    known_failing = known_failing_tests()
    for item in items:
        if item.nodeid in known_failing:
            item.add_marker(pytest.mark.xfail(reason="see KNOWN-RED.txt"))
