"""Waits until a revision is in force on every host."""

import sys
import time

from apricotseam.errors import FailedError
from apricotseam.operators import SpreadState

PERIOD_SECONDS = 0.25
TIMEOUT_SECONDS = 60.0


class HostsLagError(FailedError):
    """The change is accepted, but not in force on every host in time."""

    code = "hosts_lag"


def wait_for_revision(client, revision, timeout=TIMEOUT_SECONDS):
    """Wait until every present host has a revision, and show progress.

    Parameters
    ----------
    client : HostClient
        Operators' interface of any host.
    revision : int
        The revision.
    timeout : float
        Seconds to wait.

    Raises
    ------
    HostsLagError
        If hosts still lag after the timeout; the message names them.
    """
    deadline = time.monotonic() + timeout
    while True:
        state = client.call(
            "GET", f"/v1/admin/revisions/{revision}", SpreadState
        )
        ready = state.hosts - len(state.lagging)
        print(
            f"revision {revision}: in force on {ready} of {state.hosts} hosts",
            file=sys.stderr,
        )
        if not state.lagging:
            return
        if time.monotonic() >= deadline:
            names = ", ".join(host.name for host in state.lagging)
            raise HostsLagError(
                f"revision {revision} is accepted but not in force on {names}",
                "read `apricotseam status`; hosts that lag take it once"
                " they hear a peer or the service",
            )
        time.sleep(PERIOD_SECONDS)
