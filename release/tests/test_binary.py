"""The one-file program: no child process, nothing beside it needed."""

import os
import pathlib
import re
import shutil
import signal
import subprocess

import msgspec
import pytest
import yaml

from apricotseam.demo import LocalSystem
from apricotseam.demo import OPERATOR_KEY
from apricotseam.standins import reference_answer

ROOT = pathlib.Path(__file__).parents[2]
PROGRAM = ROOT / "dist" / "apricotseam"
MAX_RESIDENT_KIB = 64 * 1024


@pytest.fixture
def program(tmp_path):
    """A copy of the program in an otherwise empty folder."""
    copy = tmp_path / "bin" / "apricotseam"
    copy.parent.mkdir()
    shutil.copy(PROGRAM, copy)
    return copy


@pytest.fixture
def system():
    """Stand-ins of one team's file, without entry hosts."""
    text = (ROOT / "examples" / "fundacion-libro-andino.yaml").read_text()
    local = LocalSystem([text], []).start()
    yield local
    local.stop()


def run(program, *arguments, key=OPERATOR_KEY):
    """Run one command without any other variable or folder."""
    return subprocess.run(
        [str(program), *arguments],
        env={"APRICOTSEAM_KEY": key},
        cwd=program.parent,
        capture_output=True,
        text=True,
        timeout=60,
    )


def write_settings(system, folder):
    """Write settings of one host; return them and their file."""
    settings = system.settings("entry-0", "quito-a")
    path = folder / "settings.yaml"
    path.write_text(yaml.safe_dump(msgspec.to_builtins(settings)))
    return settings, path


def test_program_is_linked_to_the_c_library_as_usual():
    output = subprocess.run(
        ["ldd", str(PROGRAM)], capture_output=True, text=True, check=True
    ).stdout
    assert "libc.so.6" in output
    assert "libpython" not in output


def test_errors_have_the_exit_code_of_their_kind(program, tmp_path):
    file = tmp_path / "broken.yaml"
    file.write_text("scope: a\nscope: b\n")
    result = run(program, "check", str(file))
    assert result.returncode == 2
    assert "broken.yaml:2" in result.stderr


def test_serve_starts_no_process_and_answers(program, system, tmp_path):
    settings, path = write_settings(system, tmp_path)
    trace = tmp_path / "trace"
    command = ["strace", "-f", "-e", "trace=process", "-o", str(trace)]
    server = subprocess.Popen(
        [*command, str(program), "serve", str(path)],
        env={"PATH": os.environ["PATH"]},
        cwd=program.parent,
    )
    try:
        host = settings.operators_address
        status = ["status", "--host", host]
        assert system.wait_until(
            lambda: run(program, *status).returncode == 0, 60
        )
        file = tmp_path / "scope.yaml"
        file.write_text(system.texts[0])
        applied = run(program, "apply", str(file), "--host", host)
        assert applied.returncode == 0, applied.stderr
        assert system.wait_until(lambda: answers(program, settings), 60)
        pid = child_of(server.pid)
        assert children(pid) == []
        assert resident_kib(pid) <= MAX_RESIDENT_KIB
        os.kill(pid, signal.SIGTERM)
        assert server.wait(60) == 0
    finally:
        server.kill()
        server.wait()
    assert forks(trace.read_text()) == []


def answers(program, settings):
    """Return whether the program answers a prompt as it should."""
    host = settings.callers_address
    ask = ["ask", "student-assistant", "hi", "--max-tokens", "3"]
    got = run(program, *ask, "--host", host, key="demo-key-colegio-sur")
    wanted = reference_answer("v1", 32, '[["user","hi"]]', 3)
    return got.stdout == "".join(wanted) + "\n"


def child_of(tracer):
    """Return the process that the tracer started."""
    (child,) = children(tracer)
    return child


def children(pid):
    """Return the child processes of a process."""
    found = []
    for task in pathlib.Path(f"/proc/{pid}/task").iterdir():
        found += map(int, (task / "children").read_text().split())
    return found


def resident_kib(pid):
    """Return the resident memory of a process in KiB."""
    text = pathlib.Path(f"/proc/{pid}/status").read_text()
    return int(re.search(r"VmRSS:\s+(\d+)", text)[1])


def forks(trace):
    """Return the system calls that make a process or replace it."""
    calls = re.findall(r"^\d+ +((?:v?fork|clone3?|execve)\(.*)$", trace, re.M)
    return [call for call in calls[1:] if "CLONE_THREAD" not in call]
