"""How the events of an answer end."""

import types

import msgspec
import pytest

from apricotseam.callers._completions import _event_stream
from apricotseam.errors import FailedError

PLAN = types.SimpleNamespace(stream="s1")
TOKEN = types.SimpleNamespace(text="a", end=False, position=1)

# Description, error that the runner raises, message in the last event.
ERRORS = [
    ("typed", FailedError("no stage", "ask again"), "no stage"),
    ("of the program", KeyError("stage"), "an internal error"),
]


def fail_after_a_token(error):
    """Yield a token and raise an error."""
    yield TOKEN
    raise error


@pytest.mark.parametrize(
    ("error", "message"),
    [case[1:] for case in ERRORS],
    ids=[case[0] for case in ERRORS],
)
def test_answer_that_fails_ends_with_an_error_event(error, message):
    """Guards against an answer that is cut without a word."""
    events = list(_event_stream(PLAN, fail_after_a_token(error), "m"))
    assert len(events) == 2
    name, data = events[1].split(b"\n")[:2]
    assert name == b"event: error"
    body = msgspec.json.decode(data.removeprefix(b"data: "))
    assert body["error"]["message"] == message
