"""Waits until a revision is in force on every host."""

import sys
import time

from apricotseam.errors import FailedError
from apricotseam.operators import SpreadState

POLL_PERIOD_SECONDS = 0.25
TIMEOUT_SECONDS = 60.0


class HostsLagError(FailedError):
    """The change is accepted, but not in force on every host in time."""

    code = "hosts_lag"


def wait_for_revision(client, revision, timeout=TIMEOUT_SECONDS):
    """Wait until a revision is in force on every host that is not dead.

    Progress is printed to standard error.

    Parameters
    ----------
    client : HostClient
        Client of the operators' interface of any host.
    revision : int
        The revision to wait for.
    timeout : float
        Seconds to wait.

    Raises
    ------
    HostsLagError
        If the revision is not in force on all hosts when the timeout
        expires; the message names the lagging hosts.
    """
    deadline = time.monotonic() + timeout
    while True:
        state = client.call(
            "GET", f"/v1/admin/revisions/{revision}", SpreadState
        )
        in_force = state.hosts - len(state.lagging)
        print(
            f"revision {revision}: in force on {in_force} of {state.hosts}"
            " hosts",
            file=sys.stderr,
        )
        if not state.lagging:
            return
        if time.monotonic() >= deadline:
            names = ", ".join(host.name for host in state.lagging)
            raise HostsLagError(
                f"revision {revision} is accepted but not in force on {names}",
                "check `apricotseam status`; lagging hosts load it once they"
                " reach a peer or the key-value service",
            )
        time.sleep(POLL_PERIOD_SECONDS)
