"""Start of the whole program with settings that cannot be used."""

import json
import os
import signal
import subprocess
import sys

import pytest

from apricotseam.web import free_address

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
        [sys.executable, "-m", "apricotseam.start", str(path)],
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
        [sys.executable, "-m", "apricotseam.start"],
        capture_output=True,
        env=environment,
        timeout=60,
    )
    line = json.loads(done.stdout.splitlines()[-1])
    assert done.returncode == 2
    assert "APRICOTSEAM_SETTINGS" in line["error"]


def test_a_reload_that_comes_during_the_start_is_kept(tmp_path):
    """Without a handler this signal ends a process."""
    fields = {
        name: free_address()
        for name in (
            "callers_address",
            "readiness_address",
            "directory_address",
            "peers_address",
            "store_address",
        )
    }
    text = json.dumps({"host": "h", "zone": "a", **fields})
    path = tmp_path / "settings.yaml"
    os.mkfifo(path)
    process = subprocess.Popen(
        [sys.executable, "-m", "apricotseam.start", str(path)],
        stdout=subprocess.PIPE,
    )
    try:
        # Opens as soon as the process begins to read its settings.
        with path.open("w") as settings:
            process.send_signal(signal.SIGHUP)
            whole = tmp_path / "whole.yaml"
            whole.write_text(text)
            whole.replace(path)
            settings.write(text)
        events = []
        for line in process.stdout:
            events.append(json.loads(line)["event"])
            if events[-1] in ("reloaded", "start_failed"):
                break
        assert events[-1] == "reloaded"
    finally:
        process.kill()
        process.wait()
        process.stdout.close()
