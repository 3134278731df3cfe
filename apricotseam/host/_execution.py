"""Builds the at-most-once execution of one entry host."""

from apricotseam.execution import AtMostOnceExecution
from apricotseam.execution import ClaimBatches
from apricotseam.execution import IdempotencyKeyRunner
from apricotseam.execution import ShardClaims
from apricotseam.execution import ShardStore
from apricotseam.execution import SystemWaiter
from apricotseam.execution import TicketRunner
from apricotseam.execution import TicketSigner
from apricotseam.supervision import Child


class ClaimsChild(Child):
    """Stops the threads that claim keys when the process stops.

    Parameters
    ----------
    claim_batches : ClaimBatches
        Owns the threads.
    """

    name = "claims"

    def __init__(self, claim_batches):
        self._claim_batches = claim_batches

    def run(self, stopping):
        """Wait until told to stop; claims have threads of their own."""
        stopping.wait()

    def stop(self):
        """Let the threads finish."""
        self._claim_batches.close()


def build_execution(settings, clock, service, link, list_peer_addresses):
    """Return the at-most-once execution of a host and its claim queue.

    Parameters
    ----------
    settings : Settings
        Settings of the process.
    clock : Clock
        Source of time.
    service : KeyValueService
        Key-value service in which keys are claimed.
    link : PeerLink
        Exchanges messages between hosts.
    list_peer_addresses : callable
        Returns the peer addresses of live hosts.

    Returns
    -------
    (AtMostOnceExecution, ClaimBatches)
    """
    waiter = SystemWaiter()
    signer = TicketSigner(settings.signing_keys)
    store = ShardStore(service, settings.key_prefix, clock)
    claim_batches = ClaimBatches(store)
    claims = ShardClaims(link, claim_batches, list_peer_addresses)
    execution = AtMostOnceExecution(
        TicketRunner(link, signer, clock, waiter),
        IdempotencyKeyRunner(link, claims, clock, waiter),
        settings.bounds.address_valid_seconds,
    )
    return execution, claim_batches
