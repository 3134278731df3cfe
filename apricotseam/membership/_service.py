"""Supervised child that runs the membership protocol."""

import logging

from apricotseam.membership._member import Facts
from apricotseam.membership._membership import TICK_SECONDS
from apricotseam.membership._messages import Ack
from apricotseam.membership._messages import MESSAGE_TYPES
from apricotseam.membership._messages import Ping
from apricotseam.supervision import Child

_LOG = logging.getLogger(__name__)

LOOP_TIMEOUT_SECONDS = 10


class MembershipChild(Child):
    """Drives a `Membership` on the control loop over a transport.

    Parameters
    ----------
    loop : ControlLoop
        Event loop that the protocol runs on.
    transport : PeerTransport
        Transport of the messages.
    membership : Membership
        Protocol state of this host.
    clock : Clock
        Source of time.
    publish : callable
        Called with each new `MemberTable`; the first call is made by the
        constructor.
    """

    name = "membership"

    def __init__(self, loop, transport, membership, clock, publish):
        self._loop = loop
        self._transport = transport
        self._membership = membership
        self._clock = clock
        self._publish = publish
        self._published = -1
        self._get_facts = Facts
        self._on_peer_revisions = (
            lambda address, revision, host_list_revision: None
        )
        for message_type in MESSAGE_TYPES:
            transport.handle(message_type, self._receive)
        self._publish_if_changed()

    @property
    def last_heard(self):
        """Monotonic time of the last message from any peer, or None."""
        return self._membership.last_heard

    @property
    def partners(self):
        """Addresses of the members that this host probes and syncs with."""
        return self._membership.partners

    def set_callbacks(self, get_facts, on_peer_revisions):
        """Set the source of this host's facts and the callback for peers'.

        Parameters
        ----------
        get_facts : callable
            Returns the current `Facts` of this host.
        on_peer_revisions : callable
            Called with a peer's address, the revision of its configuration
            and that of its host list.
        """
        self._get_facts = get_facts
        self._on_peer_revisions = on_peer_revisions

    def run(self, stopping):
        """Run the periodic work until the event `stopping` is set."""
        while not stopping.is_set():
            self._loop.run(self._tick(), LOOP_TIMEOUT_SECONDS)
            stopping.wait(TICK_SECONDS)

    def set_seeds(self, addresses):
        """Set the peer addresses at which to look for further members."""
        self._loop.run(self._set_seeds(list(addresses)), LOOP_TIMEOUT_SECONDS)

    def announce_leaving(self):
        """Publish that this host is leaving."""
        self._loop.run(self._announce_leaving(), LOOP_TIMEOUT_SECONDS)

    async def _set_seeds(self, addresses):
        self._membership.set_seeds(addresses)

    async def _announce_leaving(self):
        self._send(self._membership.announce_leaving())
        self._publish_if_changed()

    async def _tick(self):
        self._membership.set_facts(self._get_facts())
        self._send(self._membership.tick(self._clock.monotonic()))
        self._publish_if_changed()

    def _receive(self, sender, message):
        now = self._clock.monotonic()
        self._send(self._membership.receive(sender, message, now))
        if isinstance(message, (Ping, Ack)):
            self._on_peer_revisions(
                sender, message.revision, message.host_list_revision
            )
        self._publish_if_changed()

    def _send(self, pairs):
        for address, message in pairs:
            self._transport.send(address, message)

    def _publish_if_changed(self):
        if self._membership.changes == self._published:
            return
        self._published = self._membership.changes
        table = self._membership.snapshot()
        own = table.own
        if own.incarnation != self._transport.incarnation:
            _LOG.warning(
                "incarnation_raised", extra={"incarnation": own.incarnation}
            )
            self._transport.renew_incarnation(own.incarnation)
        self._publish(table)
