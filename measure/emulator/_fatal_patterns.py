"""Patterns of requests that end the processes of targets."""

from measure.emulator._fatal import END_SECONDS
from measure.emulator._pattern import DISTURBED_AT_SECONDS
from measure.emulator._pattern import Pattern

# Rate of the requests that end processes.
FATAL_REQUESTS_PER_SECOND = 2.0
# Time from the end of a process to the start of the next, which is empty.
DOWN_SECONDS = 3.0


class FatalPart(Pattern):
    """Requests of a customer have a part that ends whichever engine answers.

    No two are alike, and the customer's other requests share their first
    part.
    """

    name = "fatal-part"
    about = "2 requests a second have a part that ends each engine"
    load = 0.4
    customer = "customer-0"
    parts = ("fatal",)

    def disturb(self, simulation):
        """Make the parts end each engine that begins to answer."""
        fatal = simulation.site.fatal
        fatal.parts.update(self.parts)
        fatal.on_begin = lambda engine: simulation.end_engine_later(
            engine, END_SECONDS, DOWN_SECONDS
        )

    def make_caller(self, simulation, request):
        """Return a caller; some requests get one of the fatal parts."""
        usual = self.load * simulation.capacity.requests_per_second
        stride = max(1, round(usual / FATAL_REQUESTS_PER_SECOND))
        number, rest = divmod(request.number, stride)
        if not rest and request.at >= DISTURBED_AT_SECONDS:
            part = self.parts[number % len(self.parts)]
            self.spoil(request, part)
        return super().make_caller(simulation, request)

    def spoil(self, request, part):
        """Give a request a fatal part."""
        request.customer = self.make_customers()[0]
        request.prompt_parts = (
            f"instructions-{self.customer}",
            part,
            request.prompt_parts[-1],
        )


class FatalFirstPart(FatalPart):
    """The first part of a small customer's prompts ends engines."""

    name = "fatal-first-part"
    about = "2 requests a second have a first part that ends each engine"

    def spoil(self, request, part):
        """Give a request a fatal first part."""
        request.customer = self.make_customers()[-1]
        request.prompt_parts = (part, *request.prompt_parts[1:])


class TwoFatalParts(FatalPart):
    """Two parts end engines at the same time."""

    name = "two-fatal-parts"
    about = "1 request a second has each of two parts that end each engine"
    parts = ("fatal-a", "fatal-b")
