"""Queue of requests that wait briefly for capacity, by priority."""

import asyncio
import collections
import heapq
import itertools

# Window over which the rate of completed requests is measured.
RATE_WINDOW_SECONDS = 2.0
# Fraction of the latency objective that a request may spend waiting.
WAIT_FRACTION = 0.65
# Time for which a refused request is remembered, so that its retry is served
# before new requests.
REFUSAL_MEMORY_SECONDS = 12.0
MAX_REMEMBERED_REFUSALS = 2000
# Refused requests are asked to return at this fraction of the rate of
# completions, which leaves room for new ones.
RETURN_RATE_SHARE = 0.3
# A caller may return this much earlier than it was told, as the time that it
# is told is rounded.
RETURN_TOLERANCE_SECONDS = 0.02


class RequestQueue:
    """Requests of this host that no chain has capacity for at present.

    Parameters
    ----------
    now : callable
        Returns monotonic time in seconds.
    """

    def __init__(self, now):
        self._now = now
        self._queue = []
        self._arrival_numbers = itertools.count()
        self._completions = collections.deque()
        self._refused_until = collections.OrderedDict()
        # Times at which this host told callers to return, by retry key.
        self._returns_at = collections.OrderedDict()
        # `ShareRules` of this host, set before the first request.
        self.share_rules = None
        self._recent_refusals = collections.deque(
            maxlen=MAX_REMEMBERED_REFUSALS
        )
        # Time at which the last of the refused requests should return.
        self._last_return_at = 0.0

    def __len__(self):
        return len(self._queue)

    def is_first(self, rank):
        """Return whether a request of this rank precedes all queued ones."""
        return not self._queue or rank < self._queue[0][0]

    def rank(self, call):
        """Return the sort key of a call; the lowest is served first.

        Requests that were refused before precede the others. With fair
        shares they do so within their class, and requests of customers with
        less work in progress precede others of the class.
        """
        was_refused = self.was_refused_before(call)
        if call.load.fair_shares:
            return (
                call.effective_priority,
                not was_refused,
                self.share_rules.active_ms(call.demand_key),
                call.request.received_at,
            )
        return (
            not was_refused,
            call.effective_priority,
            call.request.received_at,
        )

    def expected_wait_seconds(self, rank=None):
        """Return the expected wait of a request, in seconds.

        If no request has completed within the window, its length is returned.

        Parameters
        ----------
        rank : tuple, optional
            Its sort key, from `rank`. By default the request is the last.
        """
        preceding = len(self._queue)
        if rank is not None:
            preceding = sum(entry[0] <= rank for entry in self._queue)
        rate = self._completions_per_second()
        return (preceding + 1) / rate if rate else RATE_WINDOW_SECONDS

    def _completions_per_second(self):
        """Return the rate of completions within the window."""
        now = self._now()
        while (
            self._completions
            and self._completions[0] < now - RATE_WINDOW_SECONDS
        ):
            self._completions.popleft()
        return len(self._completions) / RATE_WINDOW_SECONDS

    def reserve_return_seconds(self):
        """Return after how many seconds a refused request should return.

        Those that are refused one after another return one after another.
        """
        now = self._now()
        rate = RETURN_RATE_SHARE * self._completions_per_second()
        if not rate:
            return RATE_WINDOW_SECONDS
        return_at = max(now, self._last_return_at) + 1.0 / rate
        self._last_return_at = return_at
        return return_at - now

    async def wait(self, rank, until, service=""):
        """Wait until woken; return whether that happened in time.

        Parameters
        ----------
        rank : tuple
            Sort key in the queue, from `rank`.
        until : float
            Latest loop time in seconds.
        service : str, optional
            Name of the service after whose losses it is woken.
        """
        loop = asyncio.get_running_loop()
        future = loop.create_future()
        entry = (rank, next(self._arrival_numbers), future, service)
        heapq.heappush(self._queue, entry)
        timer = loop.call_at(until, _set_result, future, False)
        try:
            return await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled() and future.result():
                self.wake_next()
            raise
        finally:
            timer.cancel()
            if entry in self._queue:
                self._queue.remove(entry)
                heapq.heapify(self._queue)

    def record_completion(self):
        """Record that a request of this host completed, and wake the next."""
        self._completions.append(self._now())
        self.wake_next()

    def wake_next(self):
        """Wake the first queued request."""
        while self._queue:
            future = heapq.heappop(self._queue)[2]
            if not future.done():
                future.set_result(True)
                return

    def wake_all(self, service):
        """Wake all requests that wait for a service, in their order.

        After a loss of targets, room elsewhere may suit any of them, and
        those that it does not suit are refused at once.

        Parameters
        ----------
        service : str
            Name that was passed to `wait`.
        """
        woken = [entry for entry in self._queue if entry[3] == service]
        self._queue = [e for e in self._queue if e[3] != service]
        heapq.heapify(self._queue)
        for entry in sorted(woken):
            _set_result(entry[2], True)

    def wake_behind(self, rank):
        """Wake the first request behind one that could not use its turn.

        Parameters
        ----------
        rank : tuple
            Sort key of that request.
        """
        behind = [
            entry
            for entry in self._queue
            if entry[0] > rank and not entry[2].done()
        ]
        if behind:
            first = min(behind)
            self._queue.remove(first)
            heapq.heapify(self._queue)
            first[2].set_result(True)

    def record_refusal(self, call):
        """Remember that this host refused a call, and tell its peers later.

        The peers get the keys that `recently_refused` returns.
        """
        self.remember_refused(call.retry_key)
        self._recent_refusals.append((self._now(), call.retry_key))

    def remember_refused(self, retry_key):
        """Remember a request that this host or a peer refused."""
        if not retry_key:
            return
        self._refused_until[retry_key] = self._now() + REFUSAL_MEMORY_SECONDS
        if len(self._refused_until) > MAX_REMEMBERED_REFUSALS:
            self._refused_until.popitem(last=False)

    def record_return(self, call, seconds):
        """Remember when the caller of a refused request is to return.

        Parameters
        ----------
        call : Call
            The request.
        seconds : float
            Delay that its caller is told.
        """
        if not call.retry_key:
            return
        self._returns_at[call.retry_key] = self._now() + seconds
        self._returns_at.move_to_end(call.retry_key)
        if len(self._returns_at) > MAX_REMEMBERED_REFUSALS:
            self._returns_at.popitem(last=False)

    def was_refused_before(self, call):
        """Return whether a call is the retry of a refused request.

        With fair shares, one that comes earlier than this host has told its
        caller counts as new. Hosts do not tell each other these times.
        """
        if self._refused_until.get(call.retry_key, 0.0) <= self._now():
            return False
        if not call.load.fair_shares:
            return True
        returns_at = self._returns_at.get(call.retry_key, 0.0)
        earliest = returns_at - RETURN_TOLERANCE_SECONDS
        return call.request.received_at >= earliest

    def recently_refused(self, since):
        """Return the retry keys of the requests refused by this host.

        Parameters
        ----------
        since : float
            Monotonic time in seconds; earlier refusals are discarded.
        """
        while self._recent_refusals and self._recent_refusals[0][0] < since:
            self._recent_refusals.popleft()
        return [
            retry_key for _, retry_key in self._recent_refusals if retry_key
        ]


def _set_result(future, result):
    if not future.done():
        future.set_result(result)
