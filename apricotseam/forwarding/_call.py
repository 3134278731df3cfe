"""One request on its way through this host."""

import asyncio

# Answers of this host leave a little before the caller's own deadline.
ANSWER_MARGIN_SECONDS = 0.02


class Call:
    """A request with what was found out about it.

    Parameters
    ----------
    request : Request
        What the caller sent.
    exchange : Exchange
        The answer to it.
    facts : CallFacts
        What its headers say.
    route : Route
        The route that it takes.
    service : Service
        The service that runs it.
    customer : str
        Name of the customer, empty on public routes.
    table : RouteTable
        The configuration that admitted it.
    """

    __slots__ = (
        "attempts",
        "customer",
        "deadline",
        "exchange",
        "facts",
        "first_event_at",
        "last_event",
        "longest_pause",
        "outcome",
        "request",
        "route",
        "runs",
        "service",
        "table",
        "tried",
        "waited_seconds",
    )

    def __init__(
        self, request, exchange, facts, route, service, customer, table
    ):
        self.request = request
        self.exchange = exchange
        self.facts = facts
        self.route = route
        self.service = service
        self.customer = customer
        self.table = table
        seconds = route.timeout_seconds
        if facts.seconds_left is not None:
            seconds = min(seconds, facts.seconds_left)
        self.deadline = request.received_at + seconds - ANSWER_MARGIN_SECONDS
        self.last_event = facts.last_event
        # Loop time of the first event, and the time spent waiting for room.
        self.first_event_at = None
        self.waited_seconds = 0.0
        # Longest time between two events, in seconds.
        self.longest_pause = 0.0
        # Sends of any kind, and those that a target may have run.
        self.attempts = 0
        self.runs = 0
        # Identities of targets that failed this request.
        self.tried = set()
        # What became of each send, for the log.
        self.outcome = []

    @property
    def urgency(self):
        """Rank of the request; 0 goes first."""
        found = self.table.find_customer(self.facts.key)
        if found is not None and found.priority is not None:
            return found.priority
        return self.route.priority

    @property
    def return_id(self):
        """What a repeat of this request by its caller has in common."""
        if not self.facts.prompt_id:
            return ""
        return f"{self.customer}/{self.facts.prompt_id}"

    @property
    def may_run_again(self):
        """Whether another target may run it beside those that may have."""
        route = self.route
        return route.is_repeatable and self.runs < route.max_attempts

    @property
    def request_id(self):
        """Identifier that the caller gave."""
        return self.facts.request_id

    def seconds_left(self):
        """Return the time until the deadline in seconds."""
        return self.deadline - asyncio.get_running_loop().time()

    def note(self, target, outcome):
        """Keep what became of a send.

        Parameters
        ----------
        target : str
            Identity of the target, or a chain's.
        outcome : str
            A short word.
        """
        self.outcome.append(f"{target}:{outcome}")
