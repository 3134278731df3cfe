"""Builds execution at most once of one entry host."""

from apricotseam.execution import AtMostOnceExecution
from apricotseam.execution import ClaimBatches
from apricotseam.execution import KeyRuns
from apricotseam.execution import ShardClaims
from apricotseam.execution import ShardStore
from apricotseam.execution import SystemWaiter
from apricotseam.execution import TicketRuns
from apricotseam.execution import TicketSigner
from apricotseam.supervision import Child


class ClaimsChild(Child):
    """Ends the threads that claim keys with the process.

    Parameters
    ----------
    batches : ClaimBatches
        Owner of the threads.
    """

    name = "claims"

    def __init__(self, batches):
        self._batches = batches

    def run(self, stopping):
        """Wait for the end; claims have threads of their own."""
        stopping.wait()

    def stop(self):
        """Let the threads end."""
        self._batches.close()


def build_execution(settings, clock, service, link, members):
    """Return the execution of a host and its batches of claims.

    Parameters
    ----------
    settings : Settings
        Settings of the process.
    clock : Clock
        Source of time.
    service : KeyValueService
        Where keys are claimed.
    link : PeerLink
        Messages between hosts.
    members : callable
        Returns the peers addresses of live hosts.

    Returns
    -------
    (AtMostOnceExecution, ClaimBatches)
    """
    waiter = SystemWaiter()
    signer = TicketSigner(settings.signing_keys)
    store = ShardStore(service, settings.key_prefix, clock)
    batches = ClaimBatches(store)
    claims = ShardClaims(link, batches, members)
    execution = AtMostOnceExecution(
        TicketRuns(link, signer, clock, waiter),
        KeyRuns(link, claims, clock, waiter),
        settings.bounds.address_valid_seconds,
    )
    return execution, batches
