"""Patterns of load beyond the capacity, and of losses under full load.

They are the loads that docs/design/hard-load.md names. They suit the
deployments ``mixed`` and ``narrow``, whose zones are uneven.
"""

from measure.emulator._caller import HurriedCaller
from measure.emulator._pattern import DISTURBED_AT_SECONDS
from measure.emulator._pattern import joined_engines
from measure.emulator._pattern import Pattern
from measure.emulator._profile import CustomerSpec

CUSTOMERS = 24
# Customers that send several times as much as the others, and their share.
LARGE_CUSTOMERS = 3
LARGE_SHARE = 0.12
# Usual load in plays at full load: of a higher one, less than 95 in 100 are on
# time without a disturbance (`mixed`, 8 hosts, 29 targets).
FULL_LOAD = 0.7
# Usual load that leaves room after a loss or a move.
ROOM_LOAD = 0.45
# Time for which hosts exchange no messages.
SILENT_SECONDS = 3.0
# Targets of a chain that are lost together.
LOST_TOGETHER = 3


class LoadPattern(Pattern):
    """Many customers, a few of them large, and a burst.

    Attributes
    ----------
    burst_factor : float
        By how much all rates exceed the usual ones during the burst.
    end_seconds : float
        Time at which the last disturbance ends.
    """

    load = FULL_LOAD
    burst_factor = 1.0
    end_seconds = DISTURBED_AT_SECONDS

    def make_customers(self):
        """Return the customers, the large ones first."""
        small = CUSTOMERS - LARGE_CUSTOMERS
        small_share = (1.0 - LARGE_CUSTOMERS * LARGE_SHARE) / small
        return [
            CustomerSpec(
                f"customer-{n}",
                LARGE_SHARE if n < LARGE_CUSTOMERS else small_share,
            )
            for n in range(CUSTOMERS)
        ]

    def factor(self, at, request_class, customer):
        """Return the factor of the burst while it lasts, else 1."""
        is_burst = DISTURBED_AT_SECONDS <= at < self.end_seconds
        return self.burst_factor if is_burst else 1.0

    def disturb(self, simulation):
        """Schedule nothing; the load itself is the disturbance."""


class ClassBursts(LoadPattern):
    """The least urgent class has a burst, and then the most urgent one.

    The deployment must have the priorities 0 and 2.
    """

    name = "class-bursts"
    about = "priority 2 sends 2.3 times its usual for 6 s, priority 0 sends "
    about += "1.7 times 10 s after that begins"
    # Begin and factor by priority, in the middle of the ranges that the page
    # states.
    bursts = {
        2: (DISTURBED_AT_SECONDS, 2.3),
        0: (DISTURBED_AT_SECONDS + 10.0, 1.7),
    }
    burst_seconds = 6.0
    end_seconds = DISTURBED_AT_SECONDS + 10.0 + burst_seconds

    def factor(self, at, request_class, customer):
        """Return the factor of the class while its burst lasts, else 1."""
        begin, factor = self.bursts.get(request_class.priority, (at, 1.0))
        return factor if begin <= at < begin + self.burst_seconds else 1.0


class CustomerBurst(LoadPattern):
    """One large customer sends many times its usual."""

    name = "customer-burst"
    about = "one of 24 customers sends 7.5 times its usual for 4 s"
    burst_factor = 7.5
    end_seconds = DISTURBED_AT_SECONDS + 4.0
    customer = "customer-0"

    def factor(self, at, request_class, customer):
        """Return the factor of the burst for one customer, else 1."""
        is_surging = customer.name == self.customer
        usual = super().factor(at, request_class, customer)
        return usual if is_surging else 1.0


class SkewedZone(LoadPattern):
    """A zone with a third of the targets has two thirds of the demand."""

    name = "skewed-zone"
    about = "two thirds of all requests are sent to a third of the targets"
    load = ROOM_LOAD
    zone = "zone-1"

    def make_caller(self, simulation, request):
        """Return a caller; half of those of other zones are moved."""
        if self.is_moved(request):
            request.zone = self.zone
        return super().make_caller(simulation, request)

    def is_moved(self, request):
        """Return whether a request is sent to the crowded zone."""
        return request.number % 2 == 0


class MovedCallers(SkewedZone):
    """Half of the callers move to another zone."""

    name = "moved-callers"
    about = "half of the callers of other zones move to one zone at 5 s"

    def is_moved(self, request):
        """Return whether a request is sent to the crowded zone."""
        is_late = request.at >= DISTURBED_AT_SECONDS
        return is_late and super().is_moved(request)


class ChainLosses(LoadPattern):
    """Targets of a chain crash together, twice.

    Attributes
    ----------
    second_seconds : float
        Time between the losses.
    restart_seconds : tuple of float or None
        Time until the targets of each loss start again, None for never.
    """

    name = "chain-losses"
    about = "3 targets of a chain crash at full load, and 3 others 6 s later "
    about += "for good"
    second_seconds = 6.0
    restart_seconds = (3.0, None)
    end_seconds = DISTURBED_AT_SECONDS + second_seconds

    def disturb(self, simulation):
        """Schedule the losses."""
        for number, restart in enumerate(self.restart_seconds):
            at = DISTURBED_AT_SECONDS + number * self.second_seconds
            simulation.at(at, self.lose, simulation, number, restart)

    def choose_engines(self, simulation, number):
        """Return the engines of a loss.

        The first loss is in the zone with most engines, the next one in the
        zone with the next most, so that each breaks another zone's chains.
        """
        by_zone = {}
        for engine in simulation.engines:
            by_zone.setdefault(engine.zone, []).append(engine)
        zones = sorted(by_zone, key=lambda zone: (-len(by_zone[zone]), zone))
        engines = by_zone[zones[number % len(zones)]]
        return joined_engines(engines, LOST_TOGETHER)

    def lose(self, simulation, number, restart_seconds):
        """Crash the engines of a loss, and start them again if need be."""
        for engine in self.choose_engines(simulation, number):
            layers = engine.record.layers
            simulation.crash_engine(engine)
            if restart_seconds is not None:
                simulation.loop.call_later(
                    restart_seconds, self.restart, simulation, engine, layers
                )

    def restart(self, simulation, engine, layers):
        """Start an engine again, without layers and with a new identity."""
        simulation.restart_engine(engine)


class SilentChainLoss(ChainLosses):
    """Hosts hear nothing of each other while targets are lost."""

    name = "silent-chain-loss"
    about = "3 targets of a chain crash for good; hosts exchange no messages "
    about += "for 3 s"
    load = ROOM_LOAD
    restart_seconds = (None,)
    end_seconds = DISTURBED_AT_SECONDS + SILENT_SECONDS

    def disturb(self, simulation):
        """Schedule the loss and the silence."""
        super().disturb(simulation)
        simulation.at(
            DISTURBED_AT_SECONDS, simulation.silence_peers, SILENT_SECONDS
        )


class FastChainLost(ChainLosses):
    """Most of the fastest targets are lost, and slow chains are left."""

    name = "fast-chain-lost"
    about = "the fastest targets of the zone with fewest crash for good"
    load = ROOM_LOAD
    restart_seconds = (None,)
    end_seconds = DISTURBED_AT_SECONDS
    kind = "large"

    def choose_engines(self, simulation, number):
        """Return the fastest engines of the zone that has most of them."""
        by_zone = {}
        for engine in simulation.engines:
            if engine.record.kind == self.kind:
                by_zone.setdefault(engine.zone, []).append(engine)
        return max(by_zone.values(), key=len)


class TargetsReturn(ChainLosses):
    """Targets start again under their identity, and hold nothing.

    They have a new start time. Their records are there all the time.
    """

    name = "targets-return"
    about = "3 targets of a chain crash, and are back under their identity "
    about += "without layers 0.5 s later"
    load = ROOM_LOAD
    restart_seconds = (0.5,)
    end_seconds = DISTURBED_AT_SECONDS + 0.5

    def restart(self, simulation, engine, layers):
        """Start an engine again under its identity."""
        simulation.restart_engine(engine, keeps_identity=True)


class TargetsReturnLoaded(TargetsReturn):
    """Targets start again with their layers and with empty memory."""

    name = "targets-return-loaded"
    about = "as targets-return, but they hold their layers again"

    def restart(self, simulation, engine, layers):
        """Start an engine again with its identity and layers."""
        simulation.restart_engine(engine, keeps_identity=True, layers=layers)


class HostsRestart(LoadPattern):
    """All hosts end at full load, and are started again."""

    name = "hosts-restart"
    about = "all hosts end at full load, and are back 0.8 s later"
    down_seconds = 0.8
    end_seconds = DISTURBED_AT_SECONDS + down_seconds

    def disturb(self, simulation):
        """Schedule the end and the start of all hosts."""
        simulation.at(DISTURBED_AT_SECONDS, simulation.stop_hosts)
        simulation.at(self.end_seconds, simulation.start_hosts)


class RefusedReturn(LoadPattern):
    """Many more callers come than can be served, are refused and return."""

    name = "refused-return"
    about = "all callers send 12 times their usual for 2 s"
    burst_factor = 12.0
    end_seconds = DISTURBED_AT_SECONDS + 2.0


class HurriedCallers(LoadPattern):
    """Callers leave after two seconds without an event."""

    name = "hurried-callers"
    about = "the load is doubled for 4 s; callers leave after 2 s"
    burst_factor = 2.0
    end_seconds = DISTURBED_AT_SECONDS + 4.0

    def make_caller(self, simulation, request):
        """Return a `HurriedCaller`."""
        return HurriedCaller(simulation, request)


LOAD_PATTERNS = (
    ClassBursts,
    CustomerBurst,
    SkewedZone,
    MovedCallers,
    ChainLosses,
    SilentChainLoss,
    FastChainLost,
    TargetsReturn,
    TargetsReturnLoaded,
    HostsRestart,
    RefusedReturn,
    HurriedCallers,
)
