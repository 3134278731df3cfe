"""Start of the whole program with settings that cannot be used."""

import json
import os
import subprocess
import sys

import pytest

GOOD = """
host: h
zone: a
callers_address: 127.0.0.1:1
readiness_address: 127.0.0.1:2
directory_address: 127.0.0.1:3
peers_address: 127.0.0.1:4
store_address: 127.0.0.1:5
"""
REMEDY = "correct the settings and start again"

# Text of the settings, None for no file; what the log line says.
SETTINGS = [
    ("no file", None, "No such file"),
    ("no YAML", "host: [", REMEDY),
    ("empty", "", REMEDY),
    ("a list", "- host", REMEDY),
    ("a field is missing", GOOD.replace("zone: a\n", ""), "`zone`"),
    ("wrong type", GOOD + "seeds: 7\n", "$.seeds"),
    ("wrong bound", GOOD + "bounds: {retry_slack: many}\n", "retry_slack"),
]


@pytest.mark.parametrize(
    ("text", "said"),
    [case[1:] for case in SETTINGS],
    ids=[case[0] for case in SETTINGS],
)
def test_bad_settings_are_named_and_end_the_process(text, said, tmp_path):
    path = tmp_path / "settings.yaml"
    if text is not None:
        path.write_text(text)
    done = subprocess.run(
        [sys.executable, "-m", "apricotseam.node", str(path)],
        capture_output=True,
        env=os.environ,
        timeout=60,
    )
    line = json.loads(done.stdout.splitlines()[-1])
    assert done.returncode == 2
    assert line["event"] == "start_failed"
    assert said in line["error"]


def test_no_settings_at_all():
    environment = dict(os.environ)
    environment.pop("APRICOTSEAM_SETTINGS", None)
    done = subprocess.run(
        [sys.executable, "-m", "apricotseam.node"],
        capture_output=True,
        env=environment,
        timeout=60,
    )
    line = json.loads(done.stdout.splitlines()[-1])
    assert done.returncode == 2
    assert "APRICOTSEAM_SETTINGS" in line["error"]
