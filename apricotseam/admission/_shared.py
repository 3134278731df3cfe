"""Limits of customers over all hosts: locking and messaging."""

import asyncio
import threading

from apricotseam.admission._limits import CustomerLimits
from apricotseam.admission._local_shares import LocalShares
from apricotseam.admission._owner import ShareOwner
from apricotseam.admission._sharerules import ShareAnswer
from apricotseam.admission._sharerules import ShareReport
from apricotseam.errors import ApricotseamError
from apricotseam.errors import LimitExceededError

# Interval between a host's reports to owners.
EXCHANGE_SECONDS = 1.0
ASK_TIMEOUT_SECONDS = 0.25
# Minimum time between two requests for a loan of the same customer.
ASK_INTERVAL_SECONDS = 0.5
# Longest time that a request waits for its host's share to admit it.
MAX_WAIT_SECONDS = 0.1
# Maximum number of customers whose next ask time is stored.
MAX_ASK_TIMES = 4096


class SharedLimits(CustomerLimits):
    """Enforces each customer's limits over all hosts together.

    Parameters
    ----------
    transport : PeerTransport
        Sends and receives messages between hosts.
    clock : Clock
        Source of time.
    members : callable
        Returns the peer addresses of the live hosts.
    fleet : callable
        Returns the number of hosts in the fleet, including unreachable
        ones.
    """

    def __init__(self, transport, clock, members, fleet):
        self._transport = transport
        self._clock = clock
        self._members = members
        self._fleet = fleet
        self._lock = threading.Lock()
        self._next_ask_times = {}
        self._pending_asks = {}
        name = f"{transport.address}/{transport.incarnation}"
        now = clock.monotonic()
        self._local_shares = LocalShares(name, now)
        self._owner = ShareOwner(transport.address, now)
        transport.handle(ShareReport, self._answer, ShareAnswer)

    def acquire(self, work):
        """Count a request against its customer's limits.

        Raises
        ------
        LimitExceededError
            If the customer would exceed this host's share of a limit.
        """
        customer = _limit_key(work)
        try:
            self._acquire(customer, work)
        except LimitExceededError:
            if not self._ensure_loan(customer):
                raise
            self._acquire_after_wait(customer, work)

    def cancel(self, work):
        """Undo `acquire` for a request that was refused later."""
        with self._lock:
            self._local_shares.cancel(_limit_key(work), work)

    def release(self, work, tokens):
        """Record that a request ended and how many tokens it used."""
        with self._lock:
            self._local_shares.release(_limit_key(work), work, tokens)

    async def exchange(self):
        """Report once to the owners of all active customers."""
        with self._lock:
            now = self._refresh()
            reports = self._local_shares.reports(self._owner.owners, now)
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
            self._local_shares.accept(answer, sent_at)

    def _answer(self, sender, report):
        with self._lock:
            return self._owner.answer(report, self._refresh())

    def _acquire(self, customer, work):
        with self._lock:
            now = self._clock.monotonic()
            self._local_shares.set_host_count(self._fleet())
            self._local_shares.acquire(customer, work, now)

    def _acquire_after_wait(self, customer, work):
        """Retry now, then again after at most `MAX_WAIT_SECONDS`."""
        try:
            self._acquire(customer, work)
        except LimitExceededError as error:
            if error.retry_after > MAX_WAIT_SECONDS:
                raise
            threading.Event().wait(error.retry_after)
            self._acquire(customer, work)

    def _ensure_loan(self, customer):
        """Ask for a loan if there is none; return whether one was obtained.

        The first request of a customer asks its owner; requests that
        arrive meanwhile wait for the same answer. No message is sent, and
        the result is False, if a loan is already in force or if the owner
        was asked less than `ASK_INTERVAL_SECONDS` ago.
        """
        with self._lock:
            now = self._refresh()
            pending = self._pending_asks.get(customer)
            if pending is None:
                report = self._begin_ask(customer, now)
        if pending is not None:
            pending.wait(ASK_TIMEOUT_SECONDS)
            return self._has_loan(customer)
        if report is None:
            return False
        try:
            return self._ask_owner(customer, report, now)
        finally:
            with self._lock:
                pending = self._pending_asks.pop(customer)
            pending.set()

    def _begin_ask(self, customer, now):
        """Return the report to ask with, or None; the lock must be held."""
        if self._local_shares.has_loan(customer, now):
            return None
        if self._next_ask_times.get(customer, 0.0) > now:
            return None
        if len(self._next_ask_times) >= MAX_ASK_TIMES:
            self._next_ask_times.clear()
        self._next_ask_times[customer] = now + ASK_INTERVAL_SECONDS
        self._pending_asks[customer] = threading.Event()
        return self._local_shares.report_of(customer, now)

    def _has_loan(self, customer):
        with self._lock:
            now = self._clock.monotonic()
            return self._local_shares.has_loan(customer, now)

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
            self._local_shares.accept(answer, now)
            return bool(answer.loans)

    def _refresh(self):
        now = self._clock.monotonic()
        fleet = self._fleet()
        self._local_shares.set_host_count(fleet)
        members = set(self._members()) | {self._transport.address}
        self._owner.set_members(members, fleet, now)
        return now


def _limit_key(work):
    return f"{work.scope}/{work.customer}"
