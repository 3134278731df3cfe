"""Messages between hosts and execution at most once, as one child."""

import time

from apricotseam.execution import AtMostOnceExecution
from apricotseam.execution import ClaimBatches
from apricotseam.execution import KeyRuns
from apricotseam.execution import ShardClaims
from apricotseam.execution import ShardStore
from apricotseam.execution import SystemWaiter
from apricotseam.execution import TicketRuns
from apricotseam.execution import TicketSigner
from apricotseam.execution import TransportLink
from apricotseam.peers import ControlLoop
from apricotseam.peers import PeerTransport
from apricotseam.supervision import Child


class PeerParts(Child):
    """Owns the control loop, the transport and execution.

    Parameters
    ----------
    settings : Settings
        Settings of the process.
    clock : Clock
        Source of time.
    service : KeyValueService
        Where keys are claimed.
    snapshots : Snapshots
        Members in force.
    """

    name = "peers"

    def __init__(self, settings, clock, service, snapshots):
        self.loop = ControlLoop()
        self.transport = PeerTransport(
            self.loop, settings.peers_address, time.time_ns()
        )
        self.link = TransportLink(self.transport, self.loop)
        self._batches = ClaimBatches(
            ShardStore(service, settings.key_prefix, clock)
        )
        claims = ShardClaims(self.link, self._batches, lambda: [])
        waiter = SystemWaiter()
        self.execution = AtMostOnceExecution(
            TicketRuns(
                self.link, TicketSigner(settings.signing_keys), clock, waiter
            ),
            KeyRuns(self.link, claims, clock, waiter),
            settings.bounds.address_valid_seconds,
        )

    def start(self):
        """Listen for other hosts."""
        self.loop.start()
        self.transport.start()

    def run(self, stopping):
        """Wait for the end; the loop has a thread of its own."""
        stopping.wait()

    def stop(self):
        """Close the listener and end the threads."""
        self.transport.stop()
        self.loop.stop()
        self._batches.close()
