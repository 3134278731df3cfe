"""Patterns in which hosts lose their links to the targets."""

from measure.emulator._links import LinkMode
from measure.emulator._pattern import DISTURBED_AT_SECONDS
from measure.emulator._pattern import Pattern

CUT_SECONDS = 12.0
# A host that is cut off is expected to have its requests served from here.
ADAPT_SECONDS = 3.0


class HostsCutOff(Pattern):
    """Two hosts lose their links to all targets; nothing is delivered.

    Attributes
    ----------
    mode : LinkMode
        What happens to traffic on these links.
    """

    name = "hosts-cut-off"
    about = "two hosts reach no target for 12 s, in silence"
    load = 0.35
    mode = LinkMode.SILENT

    def choose_hosts(self, hosts):
        """Return the hosts that are cut off; the first one places layers."""
        return hosts[1:3]

    def covers(self, target):
        """Return whether a target is out of reach."""
        return True

    def disturb(self, simulation):
        """Schedule the cut and its end."""
        simulation.at(DISTURBED_AT_SECONDS, self._cut, simulation)
        simulation.at(
            DISTURBED_AT_SECONDS + CUT_SECONDS, self._restore, simulation
        )

    def _cut(self, simulation):
        for host in self.choose_hosts(simulation.hosts):
            host.link.cut(self.mode, self.covers)
            simulation.cut_off.add(host.name)

    def _restore(self, simulation):
        for host in simulation.hosts:
            host.link.restore()


class HostsRefused(HostsCutOff):
    """Connections of two hosts are refused, and open ones reset."""

    name = "hosts-refused"
    about = "as hosts-cut-off, with connections that are refused and reset"
    mode = LinkMode.REFUSED


class HostsReset(HostsCutOff):
    """Connections of two hosts are reset as soon as they are used."""

    name = "hosts-reset"
    about = "as hosts-cut-off, with connections that open and are reset"
    mode = LinkMode.RESET


class HostsKept(HostsCutOff):
    """Open connections of two hosts live on, new ones are refused."""

    name = "hosts-kept"
    about = "as hosts-cut-off, but open connections live on"
    mode = LinkMode.KEPT


class HostsOneWay(HostsCutOff):
    """What two hosts send is lost; what they are sent arrives."""

    name = "hosts-one-way"
    about = "as hosts-cut-off, in one direction"
    mode = LinkMode.ONE_WAY


class PlacerCutOff(HostsCutOff):
    """The host that places layers is one of those cut off."""

    name = "placer-cut-off"
    about = "as hosts-cut-off, with the host that places layers"

    def choose_hosts(self, hosts):
        """Return the first hosts."""
        return hosts[:2]


class ZoneCutOff(HostsCutOff):
    """All hosts of an availability zone are cut off."""

    name = "zone-cut-off"
    about = "as hosts-cut-off, all hosts of a zone"

    def choose_hosts(self, hosts):
        """Return the hosts of the second host's zone."""
        return [host for host in hosts if host.zone == hosts[1].zone]


class MostCutOff(HostsCutOff):
    """Two thirds of all hosts are cut off."""

    name = "most-hosts-cut-off"
    about = "as hosts-cut-off, two thirds of all hosts"
    mode = LinkMode.REFUSED

    def choose_hosts(self, hosts):
        """Return the last two thirds."""
        return hosts[len(hosts) // 3 :]


class FirstTargetsCutOff(HostsCutOff):
    """Two hosts don't reach the first targets of any chain."""

    name = "first-targets-cut-off"
    about = "as hosts-cut-off, but only the first target of each chain"

    def covers(self, target):
        """Return whether a target holds the first layer."""
        layers = target.record.layers
        return layers is not None and layers.first == 0


class PlacerMissesFirstTargets(FirstTargetsCutOff):
    """The host that places layers misses the first target of each chain."""

    name = "placer-misses-first-targets"
    about = "as first-targets-cut-off, with the host that places layers"

    def choose_hosts(self, hosts):
        """Return the first host."""
        return hosts[:1]


class HostsFlapping(HostsCutOff):
    """The cut comes and goes each second."""

    name = "hosts-flapping"
    about = "as hosts-cut-off, the cut comes and goes each second"
    period_seconds = 1.0

    def disturb(self, simulation):
        """Schedule each cut and its end."""
        for number in range(int(CUT_SECONDS / self.period_seconds)):
            at = DISTURBED_AT_SECONDS + number * self.period_seconds
            action = self._restore if number % 2 else self._cut
            simulation.at(at, action, simulation)


class CutAndRestarts(HostsCutOff):
    """Other hosts start again one after another while two are cut off."""

    name = "cut-and-restarts"
    about = "as hosts-cut-off; four other hosts are restarted meanwhile"
    mode = LinkMode.REFUSED
    restarted = range(3, 7)

    def disturb(self, simulation):
        """Schedule the restarts besides."""
        super().disturb(simulation)
        begin = DISTURBED_AT_SECONDS + ADAPT_SECONDS
        pause = (CUT_SECONDS - ADAPT_SECONDS) / (len(self.restarted) + 1)
        for count, number in enumerate(self.restarted, 1):
            at = begin + count * pause
            simulation.at(at, simulation.restart_host, number)


class CutAndBurst(HostsCutOff):
    """Twice as many requests come while two hosts are cut off."""

    name = "cut-and-burst"
    about = "as hosts-cut-off; twice the load from 4 s after its begin"
    burst_at_seconds = DISTURBED_AT_SECONDS + 4.0

    def factor(self, at, request_class, customer):
        """Return 2 during the burst, else 1."""
        cut_end = DISTURBED_AT_SECONDS + CUT_SECONDS
        return 2.0 if self.burst_at_seconds <= at < cut_end else 1.0


class CutWithoutStore(HostsCutOff):
    """The store is silent while two hosts are cut off."""

    name = "cut-without-store"
    about = "as hosts-cut-off; the store is silent all the time"

    def disturb(self, simulation):
        """Silence the store besides."""
        super().disturb(simulation)
        simulation.site.store.is_silent = True


class ShortSilences(HostsCutOff):
    """No link is cut; sound targets are silent for a second, in turn."""

    name = "short-silences"
    about = "each second another first target is silent for a second"

    def choose_hosts(self, hosts):
        """Return no host."""
        return []

    def disturb(self, simulation):
        """Schedule the silences."""
        for number in range(int(CUT_SECONDS)):
            at = DISTURBED_AT_SECONDS + number
            simulation.at(at, self._silence, simulation, number)
        end = DISTURBED_AT_SECONDS + CUT_SECONDS
        simulation.at(end, self._restore, simulation)

    def _silence(self, simulation, number):
        """End the silence before, and begin the next one.

        What a sound target sends meanwhile arrives at its end.
        """
        self._restore(simulation)
        engines = simulation.first_engines()
        silent = engines[number % len(engines)]
        for host in simulation.hosts:
            host.link.cut(self.mode, lambda target: target is silent)


class AllCutOff(HostsCutOff):
    """No host reaches any target."""

    name = "all-hosts-cut-off"
    about = "as hosts-cut-off, all hosts"

    def choose_hosts(self, hosts):
        """Return all hosts."""
        return hosts


CUT_PATTERNS = (
    HostsCutOff,
    HostsRefused,
    HostsReset,
    HostsKept,
    HostsOneWay,
    PlacerCutOff,
    ZoneCutOff,
    MostCutOff,
    FirstTargetsCutOff,
    PlacerMissesFirstTargets,
    HostsFlapping,
    CutAndRestarts,
    CutAndBurst,
    CutWithoutStore,
    ShortSilences,
    AllCutOff,
)
