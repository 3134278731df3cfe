"""Named patterns of load and disturbance."""

import msgspec

from measure.emulator._caller import EagerCaller
from measure.emulator._caller import PatientCaller
from measure.emulator._cut_patterns import CUT_PATTERNS
from measure.emulator._fatal_patterns import EnginesEndInTurn
from measure.emulator._fatal_patterns import FatalFirstPart
from measure.emulator._fatal_patterns import FatalPart
from measure.emulator._fatal_patterns import FatalPartAndCutZone
from measure.emulator._fatal_patterns import FatalPartAndPowerLoss
from measure.emulator._fatal_patterns import FatalPartAndRestarts
from measure.emulator._fatal_patterns import FatalPartWithoutStore
from measure.emulator._fatal_patterns import FatalRequest
from measure.emulator._fatal_patterns import TwoFatalParts
from measure.emulator._load_patterns import LOAD_PATTERNS
from measure.emulator._pace_patterns import EmptyReturn
from measure.emulator._pattern import DISTURBED_AT_SECONDS
from measure.emulator._pattern import joined_engines
from measure.emulator._pattern import Pattern
from measure.emulator._profile import make_customers

SURGE_FACTOR = 7.5


class Calm(Pattern):
    """Less than half of the capacity is in use, and nothing happens."""

    name = "calm"
    about = "four tenths of the capacity in use, no disturbance"
    load = 0.4

    def disturb(self, simulation):
        """Schedule nothing."""


class ClassBurst(Pattern):
    """One class sends a multiple of its usual for some seconds."""

    name = "class-burst"
    about = "the standard class sends four times its usual for 4 s"
    load = 0.8
    end_seconds = DISTURBED_AT_SECONDS + 4.0

    def factor(self, at, request_class, customer):
        """Return 4 for the standard class during the burst, else 1."""
        is_burst = DISTURBED_AT_SECONDS <= at < self.end_seconds
        is_bursting = is_burst and request_class.name == "standard"
        return 4.0 if is_bursting else 1.0

    def disturb(self, simulation):
        """Schedule nothing; the load itself is the disturbance."""


class CustomerSurge(Pattern):
    """One customer sends many times its usual."""

    name = "customer-surge"
    about = "one of ten customers sends 7.5 times its usual for 6 s"
    load = 0.9
    customer = "customer-0"
    end_seconds = DISTURBED_AT_SECONDS + 6.0

    def make_customers(self):
        """Return customers of which the first sends more than the others."""
        return make_customers(first_share=0.15)

    def factor(self, at, request_class, customer):
        """Return 7.5 for one customer during the surge, else 1."""
        is_surge = DISTURBED_AT_SECONDS <= at < self.end_seconds
        is_surging = is_surge and customer.name == self.customer
        return SURGE_FACTOR if is_surging else 1.0

    def disturb(self, simulation):
        """Schedule nothing; the load itself is the disturbance."""


class EagerCallers(Pattern):
    """Some callers return early and often after a refusal."""

    name = "eager-callers"
    about = "the load is doubled for 4 s; 3 in 10 callers return at once"
    load = 0.9
    end_seconds = DISTURBED_AT_SECONDS + 4.0

    def factor(self, at, request_class, customer):
        """Return 2 during the overload, else 1."""
        is_overload = DISTURBED_AT_SECONDS <= at < self.end_seconds
        return 2.0 if is_overload else 1.0

    def make_caller(self, simulation, request):
        """Return an `EagerCaller` for 3 in 10 requests."""
        is_eager = request.number % 10 < 3
        return (EagerCaller if is_eager else PatientCaller)(
            simulation, request
        )

    def disturb(self, simulation):
        """Schedule nothing; the callers are the disturbance."""


class _JoinedLoss(Pattern):
    """Engines that serve the same streams are lost together."""

    load = 0.4
    is_silent = False
    restart_seconds = None

    def disturb(self, simulation):
        """Schedule the loss."""
        simulation.at(DISTURBED_AT_SECONDS, self._lose, simulation)

    def _lose(self, simulation):
        zone = simulation.engines[0].zone
        for engine in joined_engines(simulation.of_zone(zone)):
            simulation.crash_engine(engine, self.is_silent)
            if self.restart_seconds is not None:
                simulation.loop.call_later(
                    self.restart_seconds, simulation.restart_engine, engine
                )


class JoinedCrash(_JoinedLoss):
    """Seven joined engines of a zone crash and start again empty."""

    name = "joined-crash"
    about = "7 joined engines of a zone crash, and are back empty 4.4 s later"
    restart_seconds = 4.4


class JoinedSilence(_JoinedLoss):
    """Seven joined engines of a zone fall silent for good."""

    name = "joined-silence"
    about = "7 joined engines of a zone fall silent for good"
    is_silent = True


class SlowEngines(Pattern):
    """Joined engines run slowly."""

    name = "slow-engines"
    about = "4 joined engines of a zone run 5 times slower for 6 s"
    load = 0.5
    slowdown = 5.0

    def disturb(self, simulation):
        """Schedule the slow-down and its end."""
        simulation.at(DISTURBED_AT_SECONDS, self._begin, simulation)

    def _begin(self, simulation):
        zone = simulation.engines[0].zone
        engines = joined_engines(simulation.of_zone(zone), 4)
        for engine in engines:
            engine.passes.slowdown = self.slowdown
        simulation.loop.call_later(6.0, self._end, engines)

    def _end(self, engines):
        for engine in engines:
            engine.passes.slowdown = 1.0


class SlowPipes(Pattern):
    """The pipes between zones carry less while a zone lacks layers."""

    name = "slow-pipes"
    about = "transfers between zones take 30 times as long; a zone has a gap"
    load = 0.5
    slowdown = 30.0
    gap_at_seconds = DISTURBED_AT_SECONDS + 1.0

    def disturb(self, simulation):
        """Schedule the slow-down, its end and the gap."""
        begin = DISTURBED_AT_SECONDS
        simulation.at(begin, self._set_slowdown, simulation, self.slowdown)
        simulation.at(begin + 6.0, self._set_slowdown, simulation, 1.0)
        simulation.at(self.gap_at_seconds, self._make_gap, simulation)

    def _set_slowdown(self, simulation, slowdown):
        simulation.site.network.pipe.slowdown = slowdown

    def _make_gap(self, simulation):
        simulation.crash_engine(simulation.engines[0], is_silent=True)


class EngineTurnover(Pattern):
    """Engines are drained and added while the load is high."""

    name = "engine-turnover"
    about = "at full load, an engine in 8 leaves and as many join"
    load = 0.9
    drain_seconds = 4.0

    def disturb(self, simulation):
        """Schedule the leaving and joining engines."""
        count = max(1, len(simulation.engines) // 8)
        for number in range(count):
            at = DISTURBED_AT_SECONDS + number
            simulation.at(at, self._replace_one, simulation, number)

    def _replace_one(self, simulation, number):
        zones = sorted({engine.zone for engine in simulation.engines})
        engines = simulation.of_zone(zones[number % len(zones)])
        engine = simulation.random.choice(engines)
        engine.record = msgspec.structs.replace(
            engine.record, is_draining=True
        )
        simulation.site.registry.publish(engine)
        simulation.loop.call_later(
            self.drain_seconds, simulation.stop_engine, engine
        )
        simulation.add_engine(engine.record.kind, engine.zone)


class StoreOutage(Pattern):
    """A third of the hosts lose the store while engines start anew."""

    name = "store-outage"
    about = "a third of the hosts lose the store for 6 s; 2 engines crash"
    load = 0.5

    def disturb(self, simulation):
        """Schedule the outage, and crashes during it."""
        begin = DISTURBED_AT_SECONDS
        simulation.at(begin, self._cut, simulation)
        simulation.at(begin + 6.0, self._restore, simulation)
        for number in range(2):
            at = begin + 1.0 + number
            simulation.at(at, self._crash_one, simulation, number)

    def _cut(self, simulation):
        for host in simulation.hosts[2::3]:
            host.watcher.has_store = False

    def _restore(self, simulation):
        for host in simulation.hosts:
            host.watcher.has_store = True
        simulation.site.registry.publish(simulation.engines[0])

    def _crash_one(self, simulation, number):
        zones = sorted({engine.zone for engine in simulation.engines})
        engines = simulation.of_zone(zones[number % len(zones)])
        engine = simulation.random.choice(engines)
        simulation.crash_engine(engine)
        simulation.loop.call_later(2.0, simulation.restart_engine, engine)


class HotPrompt(Pattern):
    """One prompt of one customer gets a quarter of the traffic."""

    name = "hot-prompt"
    about = "a quarter of all requests have one prompt; overload for 4 s"
    load = 0.9
    customer = "customer-0"
    end_seconds = DISTURBED_AT_SECONDS + 4.0

    def make_customers(self):
        """Return customers of which the first sends a quarter."""
        return make_customers(first_share=0.25)

    def factor(self, at, request_class, customer):
        """Return 2 during the overload, else 1."""
        is_overload = DISTURBED_AT_SECONDS <= at < self.end_seconds
        return 2.0 if is_overload else 1.0

    def make_caller(self, simulation, request):
        """Return a caller; those of the first customer share a prompt."""
        if request.customer.name == self.customer:
            request.prompt_parts = (*request.prompt_parts[:-1], "hot")
        return PatientCaller(simulation, request)

    def disturb(self, simulation):
        """Schedule nothing; the load itself is the disturbance."""


class FreshStart(Pattern):
    """All hosts and engines are started anew at once."""

    name = "fresh-start"
    about = "all hosts and engines end, and are back 0.8 s later, empty"
    load = 0.4
    down_seconds = 0.8

    def disturb(self, simulation):
        """Schedule the end of all processes."""
        simulation.at(DISTURBED_AT_SECONDS, self._stop, simulation)

    def _stop(self, simulation):
        simulation.stop_hosts()
        engines = list(simulation.engines)
        for engine in engines:
            simulation.crash_engine(engine)
        simulation.loop.call_later(
            self.down_seconds, self._start, simulation, engines
        )

    def _start(self, simulation, engines):
        for engine in engines:
            simulation.restart_engine(engine)
        simulation.start_hosts()


class LimitedEngines(Pattern):
    """First engines of chains state the rate of requests that they accept."""

    name = "limited-engines"
    about = "half of the chains' first engines state limits for 7 s"
    load = 0.4
    requests_per_second = 2.4
    end_seconds = DISTURBED_AT_SECONDS + 7.0

    def disturb(self, simulation):
        """Schedule the limits and their end."""
        simulation.at(DISTURBED_AT_SECONDS, self._begin, simulation)

    def _begin(self, simulation):
        heads = simulation.first_engines()
        limited = heads[:: max(1, min(2, len(heads) - 1))]
        self._state(simulation, limited, self.requests_per_second)
        simulation.at(self.end_seconds, self._state, simulation, limited, None)

    def _state(self, simulation, engines, requests_per_second):
        for engine in engines:
            engine.limit.state(requests_per_second, simulation.loop.time())


class AllEnginesLimited(LimitedEngines):
    """All first engines state limits, below the load."""

    name = "all-engines-limited"
    about = "all first engines of chains state limits for 7 s"

    def _begin(self, simulation):
        engines = simulation.first_engines()
        self._state(simulation, engines, self.requests_per_second)
        simulation.at(self.end_seconds, self._state, simulation, engines, None)


PATTERNS = {
    pattern.name: pattern
    for pattern in (
        Calm,
        ClassBurst,
        CustomerSurge,
        EagerCallers,
        JoinedCrash,
        JoinedSilence,
        SlowEngines,
        SlowPipes,
        EngineTurnover,
        StoreOutage,
        HotPrompt,
        FreshStart,
        LimitedEngines,
        AllEnginesLimited,
        FatalPart,
        FatalFirstPart,
        TwoFatalParts,
        FatalRequest,
        FatalPartAndRestarts,
        FatalPartAndPowerLoss,
        FatalPartWithoutStore,
        FatalPartAndCutZone,
        EnginesEndInTurn,
        EmptyReturn,
        *CUT_PATTERNS,
        *LOAD_PATTERNS,
    )
}
