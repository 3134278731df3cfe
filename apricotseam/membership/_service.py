"""Runs the membership protocol over the transport between hosts."""

import logging

from apricotseam.membership._member import Facts
from apricotseam.membership._membership import TICK_SECONDS
from apricotseam.membership._messages import Ack
from apricotseam.membership._messages import MESSAGE_TYPES
from apricotseam.membership._messages import Ping
from apricotseam.supervision import Child

_LOG = logging.getLogger(__name__)

MAX_TICK_FAILURES = 10


class MembershipChild(Child):
    """Ticks a `Membership` on the control loop and passes messages.

    Parameters
    ----------
    loop : ControlLoop
        Loop that the protocol runs on.
    transport : PeerTransport
        Carries the messages.
    membership : Membership
        State of the protocol.
    clock : Clock
        Source of time.
    publish : callable
        Called with each new `MemberTable`.
    """

    name = "membership"

    def __init__(self, loop, transport, membership, clock, publish):
        self._loop = loop
        self._transport = transport
        self._membership = membership
        self._clock = clock
        self._publish = publish
        self._published = -1
        self._facts = Facts
        self._on_facts = lambda address, revision, listed: None
        for message_type in MESSAGE_TYPES:
            transport.handle(message_type, self._receive)
        self._swap()

    @property
    def last_heard(self):
        """Monotonic time of the last message of any peer, or None."""
        return self._membership.last_heard

    @property
    def partners(self):
        """Addresses of the members that this host keeps contact with."""
        return self._membership.partners

    def follow(self, facts, on_facts):
        """Connect the configuration in force with the protocol.

        Parameters
        ----------
        facts : callable
            Returns the `Facts` of this host.
        on_facts : callable
            Called with a peer's address, the revision of its configuration
            and that of its listed hosts.
        """
        self._facts = facts
        self._on_facts = on_facts

    def run(self, stopping):
        """Tick until told to stop."""
        while not stopping.is_set():
            self._loop.run(self._tick(), MAX_TICK_FAILURES)
            stopping.wait(TICK_SECONDS)

    def set_seeds(self, addresses):
        """Take peers' addresses of the host list."""
        self._loop.run(self._set_seeds(list(addresses)), MAX_TICK_FAILURES)

    def announce_leaving(self):
        """Publish that this host is leaving."""
        self._loop.run(self._announce_leaving(), MAX_TICK_FAILURES)

    async def _set_seeds(self, addresses):
        self._membership.set_seeds(addresses)

    async def _announce_leaving(self):
        self._send(self._membership.announce_leaving())
        self._swap()

    async def _tick(self):
        self._membership.set_facts(self._facts())
        self._send(self._membership.tick(self._clock.monotonic()))
        self._swap()

    def _receive(self, sender, message):
        now = self._clock.monotonic()
        self._send(self._membership.receive(sender, message, now))
        if isinstance(message, (Ping, Ack)):
            self._on_facts(sender, message.revision, message.listed)
        self._swap()

    def _send(self, pairs):
        for address, message in pairs:
            self._transport.send(address, message)

    def _swap(self):
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
