"""State of one request while this host forwards it."""

import asyncio
import hashlib

from apricotseam.quarantine import part_trait
from apricotseam.quarantine import request_trait
from apricotseam.routes import NO_FEATURES
from apricotseam.sharing import DemandKey

# Subtracted from the caller's deadline so that an answer of this host
# arrives before the caller gives up.
ANSWER_MARGIN_SECONDS = 0.02
# Size of the digest of a request, and of the length before each part of it.
DIGEST_BYTES = 10
LENGTH_BYTES = 4


class Call:
    """A request, its route and customer, and the attempts made so far.

    Parameters
    ----------
    request : Request
        Request as received from the caller.
    exchange : Exchange
        Exchange on which the answer is sent.
    metadata : RequestMetadata
        Values decoded from the request headers.
    route : Route
        Route that matches the request.
    service : Service
        Service whose targets run the request.
    customer : str
        Name of the customer, empty on public routes.
    table : RouteTable
        Configuration under which the request was admitted.
    hop : RelayHop, optional
        State of the request at the host that passed it on to this one.
    """

    __slots__ = (
        "attempts",
        "connections",
        "customer",
        "deadline",
        "demand_key",
        "digest",
        "exchange",
        "metadata",
        "first_event_at",
        "hop",
        "is_relaying",
        "is_return",
        "trial_traits",
        "last_event",
        "load",
        "longest_gap",
        "progress_at",
        "send_outcomes",
        "sends",
        "relayed_to",
        "request",
        "route",
        "runs",
        "service",
        "start_verdict",
        "table",
        "failed_answer",
        "failed_targets",
        "has_unnumbered_events",
        "_place",
        "traits",
        "waited_seconds",
    )

    def __init__(
        self,
        request,
        exchange,
        metadata,
        route,
        service,
        customer,
        table,
        hop=None,
    ):
        self.hop = hop
        self.request = request
        self.exchange = exchange
        self.metadata = metadata
        self.route = route
        self.service = service
        self.customer = customer
        self.table = table
        seconds = route.timeout_seconds
        if hop is not None:
            seconds = hop.seconds_left
        elif metadata.seconds_left is not None:
            seconds = min(seconds, metadata.seconds_left)
        self.deadline = request.received_at + seconds - ANSWER_MARGIN_SECONDS
        self.last_event = (hop or metadata).last_event
        # `LoadFeatures` that apply to it.
        self.load = NO_FEATURES
        # Customer and class with which it shares room.
        self.demand_key = DemandKey(
            service.name, self.effective_priority, customer
        )
        # Loop time of the last event that the caller got from this host; at
        # first that of its request.
        self.progress_at = request.received_at
        # Last `StartVerdict` on a chain; None before the first one.
        self.start_verdict = None
        self._place = None
        # Loop time of the first event, and the seconds spent in the queue.
        self.first_event_at = None
        self.waited_seconds = 0.0
        # Longest time between two reads of events, in seconds.
        self.longest_gap = 0.0
        # Attempts in total, those sent to targets, and those that a target
        # may have run.
        self.attempts = 0
        self.sends = 0
        self.runs = 0 if hop is None else hop.runs
        # Whether it was sent to another host, which may be running it.
        self.is_relaying = False
        # Name of the host that it was passed on to, or empty.
        self.relayed_to = ""
        # Hash that the repeats of the request share.
        self.digest = _digest(self)
        # What it has in common with others; see `Quarantine`.
        self.traits = (
            *map(part_trait, metadata.shared_parts),
            request_trait(self.digest),
        )
        # Whether it is the repeat of a refused request.
        self.is_return = False
        # Traits that are held back and that it is sent to try.
        self.trial_traits = frozenset()
        # `FailedAnswer` of a target, for the caller if no attempt succeeds.
        self.failed_answer = None
        # Incarnations of the targets that failed this request. A process that
        # has started since under the same identity may be tried.
        self.failed_targets = set()
        # Whether the caller got events that nothing tells from repeated ones.
        self.has_unnumbered_events = False
        # Connections on which it was sent to targets.
        self.connections = set()
        # Outcome of each attempt, as ``target:outcome``, for the log.
        self.send_outcomes = []

    @property
    def effective_priority(self):
        """Priority of the customer, else of the route; 0 is the highest."""
        found = self.table.find_customer(self.metadata.key)
        if found is not None and found.priority is not None:
            return found.priority
        return self.route.priority

    @property
    def retry_key(self):
        """Key that identifies a request of a customer across retries.

        Requests of a session share their prompt, but seldom all lengths.
        """
        metadata = self.metadata
        if not metadata.prompt_id:
            return ""
        lengths = f"{metadata.prompt_tokens},{metadata.expected_answer_tokens}"
        return f"{self.customer}/{metadata.prompt_id}/{lengths}"

    @property
    def waits_until(self):
        """Loop time until which its caller waits for the next event."""
        return min(
            self.deadline, self.progress_at + self.route.patience_seconds
        )

    @property
    def may_run_again(self):
        """Whether another run is permitted after those so far.

        The route has to permit it, and no event may come twice by it.
        """
        if self.has_unnumbered_events:
            return False
        route = self.route
        return route.is_repeatable and self.runs < route.max_attempts

    @property
    def request_id(self):
        """Request identifier from the request headers."""
        return self.metadata.request_id

    @property
    def is_relayed(self):
        """Whether another host received it from its caller."""
        return self.hop is not None

    def draw_place(self, generator):
        """Return its random place among the requests of all hosts.

        Parameters
        ----------
        generator : random.Random
            Draws the place, from 0 to 1, when it is first asked for.
        """
        if self._place is None:
            self._place = generator.random()
        return self._place

    def withdraw_attempt(self, target):
        """Take back an attempt of which nothing was sent.

        Parameters
        ----------
        target : str
            As for `record_outcome`.
        """
        self.attempts -= 1
        self.record_outcome(target, "not_sent")

    def seconds_left(self):
        """Return the time until the deadline in seconds."""
        return self.deadline - asyncio.get_running_loop().time()

    def record_outcome(self, target, outcome):
        """Record the outcome of an attempt for the request log.

        Parameters
        ----------
        target : str
            Identity of the target, the path of the chain as text, or
            ``end`` if no further attempt is made.
        outcome : str
            HTTP status, error code or another short label; for ``end``, the
            reason.
        """
        self.send_outcomes.append(f"{target}:{outcome}")


def _digest(call):
    """Return the hash of what is the same in all repeats of a request.

    These are its method, path, caller, prompt and body.
    """
    metadata = call.metadata
    parts = (
        call.request.method,
        metadata.host.encode(),
        call.request.target,
        (call.customer or metadata.key).encode(),
        *(part.encode() for part in metadata.shared_parts),
        metadata.prompt_id.encode(),
        call.request.body,
    )
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(LENGTH_BYTES, "big"))
        digest.update(part)
    return digest.hexdigest()
