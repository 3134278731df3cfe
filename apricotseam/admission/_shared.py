"""Customers' limits held over all hosts: the threads and messages."""

import asyncio
import threading

from apricotseam.admission._holder import ShareHolder
from apricotseam.admission._limits import CustomerLimits
from apricotseam.admission._owner import ShareOwner
from apricotseam.admission._sharerules import ShareAnswer
from apricotseam.admission._sharerules import ShareReport
from apricotseam.errors import ApricotseamError
from apricotseam.errors import LimitExceededError

EXCHANGE_SECONDS = 1.0
ASK_TIMEOUT_SECONDS = 0.25
ASK_AGAIN_SECONDS = 0.5
MAX_WAIT_SECONDS = 0.1
MAX_ASKS = 4096


class SharedLimits(CustomerLimits):
    """Holds each customer's limits over all hosts together.

    Parameters
    ----------
    transport : PeerTransport
        Messages between hosts.
    clock : Clock
        Source of time.
    members : callable
        Returns the peers' addresses of the live hosts.
    fleet : callable
        Returns the number of all hosts, also those out of reach.
    """

    def __init__(self, transport, clock, members, fleet):
        self._transport = transport
        self._clock = clock
        self._members = members
        self._fleet = fleet
        self._lock = threading.Lock()
        self._asks = {}
        self._under_way = {}
        name = f"{transport.address}/{transport.incarnation}"
        now = clock.monotonic()
        self._holder = ShareHolder(name, now)
        self._owner = ShareOwner(transport.address, now)
        transport.handle(ShareReport, self._answer, ShareAnswer)

    def take(self, work):
        """Count a request against its customer's limits."""
        customer = _key(work)
        try:
            self._take(customer, work)
        except LimitExceededError:
            if not self._ask_first(customer):
                raise
            self._take_soon(customer, work)

    def give_back(self, work):
        """Undo `take` for a request that was refused afterwards."""
        with self._lock:
            self._holder.give_back(_key(work), work)

    def ended(self, work, tokens):
        """Note that a request ended and the tokens that it used."""
        with self._lock:
            self._holder.ended(_key(work), work, tokens)

    async def exchange(self):
        """Report to the owners of all active customers once."""
        with self._lock:
            now = self._refresh()
            reports = self._holder.reports(self._owner.owners, now)
        await asyncio.gather(
            *(self._ask(owner, report) for owner, report in reports.items())
        )

    async def _ask(self, owner, report):
        sent_at = self._clock.monotonic()
        if owner == self._transport.address:
            answer = self._answer(owner, report)
        else:
            try:
                answer = await self._transport.ask_async(
                    owner, report, ASK_TIMEOUT_SECONDS * 2
                )
            except ApricotseamError:
                return
        with self._lock:
            self._holder.accept(answer, sent_at)

    def _answer(self, sender, report):
        with self._lock:
            return self._owner.answer(report, self._refresh())

    def _take(self, customer, work):
        with self._lock:
            now = self._clock.monotonic()
            self._holder.set_fleet(self._fleet())
            self._holder.take(customer, work, now)

    def _take_soon(self, customer, work):
        """Try again once the new share allows it, if that is soon."""
        try:
            self._take(customer, work)
        except LimitExceededError as error:
            if error.retry_after > MAX_WAIT_SECONDS:
                raise
            threading.Event().wait(error.retry_after)
            self._take(customer, work)

    def _ask_first(self, customer):
        """Ask for a share if there is none yet; return whether there is.

        One of the first requests of a customer at this host asks; the
        others that come meanwhile wait for its answer.
        """
        with self._lock:
            now = self._refresh()
            under_way = self._under_way.get(customer)
            if under_way is None:
                report = self._begin_ask(customer, now)
        if under_way is not None:
            under_way.wait(ASK_TIMEOUT_SECONDS)
            return self._has_loan(customer)
        if report is None:
            return False
        try:
            return self._ask_owner(customer, report, now)
        finally:
            with self._lock:
                under_way = self._under_way.pop(customer)
            under_way.set()

    def _begin_ask(self, customer, now):
        """Return the report to ask with, or None; called with the lock."""
        if self._holder.has_loan(customer, now):
            return None
        if self._asks.get(customer, 0.0) > now:
            return None
        if len(self._asks) >= MAX_ASKS:
            self._asks.clear()
        self._asks[customer] = now + ASK_AGAIN_SECONDS
        self._under_way[customer] = threading.Event()
        return self._holder.report_of(customer, now)

    def _has_loan(self, customer):
        with self._lock:
            now = self._clock.monotonic()
            return self._holder.has_loan(customer, now)

    def _ask_owner(self, customer, report, now):
        owner = self._owner.owners.owner(customer)
        if owner is None:
            return False
        if owner == self._transport.address:
            answer = self._answer(owner, report)
        else:
            try:
                answer = self._transport.ask(
                    owner, report, ASK_TIMEOUT_SECONDS
                )
            except ApricotseamError:
                return False
        with self._lock:
            self._holder.accept(answer, now)
            return bool(answer.loans)

    def _refresh(self):
        now = self._clock.monotonic()
        fleet = self._fleet()
        self._holder.set_fleet(fleet)
        members = set(self._members()) | {self._transport.address}
        self._owner.set_members(members, fleet, now)
        return now


def _key(work):
    return f"{work.scope}/{work.customer}"
