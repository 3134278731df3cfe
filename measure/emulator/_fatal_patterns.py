"""Patterns of requests that end the processes of targets."""

from measure.emulator._fatal import END_SECONDS
from measure.emulator._fatal import ENDS_TO_LEARN_REQUEST
from measure.emulator._fatal import LEARN_SECONDS
from measure.emulator._pattern import DISTURBED_AT_SECONDS
from measure.emulator._pattern import Pattern
from measure.emulator._profile import TIGHT
from measure.emulator._site import AnswerSize

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


class FatalRequest(FatalPart):
    """One request ends engines, and its caller sends it again and again."""

    name = "fatal-request"
    about = "one request, sent twice a second, ends each engine"
    parts = ("fatal-request",)
    size = AnswerSize(prompt=700, answer=120)

    def disturb(self, simulation):
        """Make the request end each engine that begins to answer."""
        super().disturb(simulation)
        simulation.site.fatal.ends_to_learn = ENDS_TO_LEARN_REQUEST

    def spoil(self, request, part):
        """Make a request the same as all others that are spoilt."""
        request.customer = self.make_customers()[0]
        request.request_class = TIGHT.classes[0]
        request.size = self.size
        request.expected_answer = self.size.answer
        request.prompt_parts = (
            f"instructions-{self.customer}",
            f"document-1-{self.customer}",
            part,
        )


class FatalPartAndRestarts(FatalPart):
    """One host after another starts again while a part ends engines."""

    name = "fatal-part-and-restarts"
    about = "as fatal-part; all hosts are restarted one after another"
    restarted_seconds = 6.0

    def disturb(self, simulation):
        """Schedule the restarts besides."""
        super().disturb(simulation)
        hosts = len(simulation.hosts)
        begin = DISTURBED_AT_SECONDS + LEARN_SECONDS + 1.0
        for number in range(hosts):
            at = begin + self.restarted_seconds * number / hosts
            simulation.at(at, simulation.restart_host, number)


class FatalPartAndPowerLoss(FatalPart):
    """All hosts lose power at once while a part ends engines."""

    name = "fatal-part-and-power-loss"
    about = "as fatal-part; all hosts end at once, and are back 0.8 s later"
    at_seconds = DISTURBED_AT_SECONDS + LEARN_SECONDS + 2.0
    down_seconds = 0.8

    def disturb(self, simulation):
        """Schedule the loss of power besides."""
        super().disturb(simulation)
        simulation.at(self.at_seconds, simulation.stop_hosts)
        simulation.at(
            self.at_seconds + self.down_seconds, simulation.start_hosts
        )


class FatalPartWithoutStore(FatalPartAndRestarts):
    """Hosts start again while the store is silent."""

    name = "fatal-part-without-store"
    about = "as fatal-part-and-restarts; the store is silent all the time"

    def disturb(self, simulation):
        """Silence the store besides."""
        super().disturb(simulation)
        simulation.site.store.is_silent = True


class FatalPartAndCutZone(FatalPart):
    """A zone's hosts hear no others while a part ends engines."""

    name = "fatal-part-and-cut-zone"
    about = "as fatal-part; the hosts of a zone are cut off for 8 s"
    cut_seconds = 8.0

    def disturb(self, simulation):
        """Schedule the cut and its end besides."""
        super().disturb(simulation)
        begin = DISTURBED_AT_SECONDS
        simulation.at(begin, simulation.cut_zone, simulation.hosts[0].zone)
        simulation.at(begin + self.cut_seconds, simulation.cut_zone, None)


class EnginesEndInTurn(Pattern):
    """All engines end one after another, whatever they run."""

    name = "engines-end-in-turn"
    about = "all engines end one after another within 5 s, and are back empty"
    load = 0.4
    all_seconds = 5.0

    def disturb(self, simulation):
        """Schedule the ends."""
        engines = list(simulation.engines)
        for number, engine in enumerate(engines):
            delay = self.all_seconds * number / len(engines)
            simulation.at(
                DISTURBED_AT_SECONDS + delay,
                simulation.end_engine_later,
                engine,
                0.0,
                DOWN_SECONDS,
            )
