"""Faults injected from outside the processes, drawn from a seed."""

import abc
import asyncio
import signal

# Longer than `GRACEFUL_STOP_SECONDS`, so that a host has stopped by itself
# before its process is killed.
STOP_WAIT_SECONDS = 4.5
# Latest start of a fault, from the start of the fault phase.
LATEST_START_SECONDS = 6.0
# Longest time between the start and the end of a fault.
MAX_DURATION_SECONDS = 2.5
# Least and greatest number of faults in a run.
FAULTS_PER_RUN = (4, 9)
# Most faults of each of `LATER_FAULT_CLASSES` in a run, in addition.
MAX_LATER_FAULTS = 3
# Latest start of an event of the sound phase, from its start, and least and
# greatest number of such events.
LATEST_SOUND_START_SECONDS = 3.0
SOUND_EVENTS_PER_RUN = (3, 7)
# Least and greatest length of the silence of a sound target.
PAUSE_SECONDS = (1.0, 1.5)


class Fault(abc.ABC):
    """A fault that is injected at one time and removed at a later one.

    Parameters
    ----------
    start_seconds : float
        Time of its start, counted from the start of the fault phase.
    end_seconds : float
        Time of its end, counted likewise.
    index : int
        Index of the affected host, target or store address, taken modulo
        their number.
    """

    __slots__ = ("start_seconds", "end_seconds", "index")

    def __init__(self, start_seconds, end_seconds, index):
        self.start_seconds = start_seconds
        self.end_seconds = end_seconds
        self.index = index

    def __repr__(self):
        return (
            f"{type(self).__name__} {self.start_seconds:.2f}"
            f"-{self.end_seconds:.2f} at {self.index}"
        )

    async def run(self, cluster):
        """Wait for the start, inject the fault and remove it at its end."""
        await asyncio.sleep(self.start_seconds)
        await self._inject(cluster)
        await asyncio.sleep(self.end_seconds - self.start_seconds)
        await self._remove(cluster)

    @abc.abstractmethod
    async def _inject(self, cluster):
        """Inject the fault."""

    async def _remove(self, cluster):
        """Remove the fault; do nothing for one that acts only once."""

    def _host(self, cluster):
        return cluster.hosts[self.index % len(cluster.hosts)]

    def _target(self, cluster):
        return cluster.targets[self.index % len(cluster.targets)]

    def _store_proxy(self, cluster):
        return cluster.store_proxies[self.index % len(cluster.store_proxies)]


class KillHost(Fault):
    """Kills the process of a host and starts it again."""

    __slots__ = ()

    async def _inject(self, cluster):
        self._host(cluster).kill()

    async def _remove(self, cluster):
        self._host(cluster).start()


class StopHost(Fault):
    """Stops a host gracefully and starts it again once it has exited.

    A host that has not exited by then is killed.
    """

    __slots__ = ()

    async def _inject(self, cluster):
        host = self._host(cluster)
        host.is_expected_up = False
        host.send_signal(signal.SIGTERM)

    async def _remove(self, cluster):
        await asyncio.sleep(STOP_WAIT_SECONDS)
        self._host(cluster).kill()
        self._host(cluster).start()


class PauseHost(Fault):
    """Suspends the process of a host (SIGSTOP) and resumes it."""

    __slots__ = ()

    async def _inject(self, cluster):
        self._host(cluster).send_signal(signal.SIGSTOP)

    async def _remove(self, cluster):
        self._host(cluster).send_signal(signal.SIGCONT)


class ReloadHost(Fault):
    """Makes a host reload its settings (SIGHUP)."""

    __slots__ = ()

    async def _inject(self, cluster):
        self._host(cluster).send_signal(signal.SIGHUP)


class CrashTarget(Fault):
    """Crashes a target and restarts it empty under the same identity."""

    __slots__ = ()

    async def _inject(self, cluster):
        target = self._target(cluster)
        if target.is_up:
            cluster.crash_target(target)

    async def _remove(self, cluster):
        target = self._target(cluster)
        if not target.is_up:
            await cluster.start_target(target)


class DrainTarget(Fault):
    """Registers a target as draining, so that it gets no new requests."""

    __slots__ = ()

    async def _inject(self, cluster):
        self._set_draining(cluster, True)

    async def _remove(self, cluster):
        self._set_draining(cluster, False)

    def _set_draining(self, cluster, is_draining):
        target = self._target(cluster)
        target.is_draining = is_draining
        if target.is_up:
            cluster.register(target)


class SilenceTarget(Fault):
    """Holds back all bytes to and from a target; connections stay open."""

    __slots__ = ()

    async def _inject(self, cluster):
        proxy = self._target(cluster).proxy
        proxy.to_upstream.hold()
        proxy.to_client.hold()

    async def _remove(self, cluster):
        self._target(cluster).proxy.clear_faults()


class DeafTarget(Fault):
    """Holds back the responses of a target; requests still reach it."""

    __slots__ = ()

    async def _inject(self, cluster):
        self._target(cluster).proxy.to_client.hold()

    async def _remove(self, cluster):
        self._target(cluster).proxy.clear_faults()


class PauseTarget(Fault):
    """Makes a sound target silent for a moment; it accepts connections."""

    __slots__ = ()

    async def _inject(self, cluster):
        standin = self._target(cluster).standin
        standin.pause_seconds = self.end_seconds - self.start_seconds
        standin.pause()


class DelayTarget(Fault):
    """Delays each chunk of bytes sent to a target."""

    __slots__ = ()

    async def _inject(self, cluster):
        self._target(cluster).proxy.to_upstream.delay_seconds = 0.15

    async def _remove(self, cluster):
        self._target(cluster).proxy.clear_faults()


class ResetTarget(Fault):
    """Resets all connections to a target."""

    __slots__ = ()

    async def _inject(self, cluster):
        self._target(cluster).proxy.reset()


class SickTarget(Fault):
    """Makes a target fail its requests while it is registered as ready.

    The index selects how: the target answers with status 500 or 503, closes
    the connection without a response, or answers with the identifier of
    another request.
    """

    __slots__ = ()

    async def _inject(self, cluster):
        behaviours = ("error", "shed", "cut", "stray")
        standin = self._target(cluster).standin
        standin.behaviour = behaviours[self.index % len(behaviours)]

    async def _remove(self, cluster):
        self._target(cluster).standin.behaviour = "good"


class RefusingStore(Fault):
    """Makes the store refuse all calls of a host with status 503."""

    __slots__ = ()

    async def _inject(self, cluster):
        cluster.store.refused.add(self._store_address(cluster))

    async def _remove(self, cluster):
        cluster.store.refused.discard(self._store_address(cluster))

    def _store_address(self, cluster):
        return cluster.store_addresses[
            self.index % len(cluster.store_addresses)
        ]


class SilentStore(Fault):
    """Holds back all bytes between the store and all hosts."""

    __slots__ = ()

    async def _inject(self, cluster):
        for proxy in cluster.store_proxies:
            proxy.to_upstream.hold()
            proxy.to_client.hold()

    async def _remove(self, cluster):
        for proxy in cluster.store_proxies:
            proxy.clear_faults()


class ResetStore(Fault):
    """Resets the connections of a host to the store."""

    __slots__ = ()

    async def _inject(self, cluster):
        self._store_proxy(cluster).reset()


class ForgetfulStore(Fault):
    """Makes the store discard its history and drop two responses.

    The responses are those to the next two transactions, which are
    processed nevertheless.
    """

    __slots__ = ()

    async def _inject(self, cluster):
        cluster.store.discard_history()
        cluster.store.answers_to_drop += 2


class ChangeConfiguration(Fault):
    """Publishes a new configuration version, and a second one at the end."""

    __slots__ = ()

    async def _inject(self, cluster):
        cluster.publish_configuration()

    async def _remove(self, cluster):
        cluster.publish_configuration()


# Seeds keep their faults as long as this tuple does not change: add further
# classes to the end of `LATER_FAULT_CLASSES`.
FAULT_CLASSES = (
    KillHost,
    StopHost,
    PauseHost,
    ReloadHost,
    CrashTarget,
    DrainTarget,
    SilenceTarget,
    DeafTarget,
    DelayTarget,
    ResetTarget,
    SickTarget,
    RefusingStore,
    SilentStore,
    ResetStore,
    ForgetfulStore,
    ChangeConfiguration,
)
LATER_FAULT_CLASSES = (PauseTarget,)
# Events of the sound phase, in which no accepted request may be lost. Several
# entries of a class make it more frequent.
SOUND_EVENT_CLASSES = (
    PauseTarget,
    PauseTarget,
    ReloadHost,
    ChangeConfiguration,
)


def draw_faults(rng):
    """Return the faults of one run in order of their start.

    Parameters
    ----------
    rng : random.Random
        Source of all random choices.

    Returns
    -------
    list of Fault
    """
    faults = []
    for _ in range(rng.randint(*FAULTS_PER_RUN)):
        start = rng.uniform(0.0, LATEST_START_SECONDS)
        end = start + rng.uniform(0.1, MAX_DURATION_SECONDS)
        faults.append(
            rng.choice(FAULT_CLASSES)(start, end, rng.randrange(1000))
        )
    for fault_class in LATER_FAULT_CLASSES:
        for _ in range(rng.randint(0, MAX_LATER_FAULTS)):
            start = rng.uniform(0.0, LATEST_START_SECONDS)
            faults.append(_draw_pause(rng, fault_class, start))
    return sorted(faults, key=lambda fault: fault.start_seconds)


def draw_sound_events(rng):
    """Return the events of the sound phase in order of their start.

    Parameters
    ----------
    rng : random.Random
        Source of all random choices.

    Returns
    -------
    list of Fault
    """
    events = []
    for _ in range(rng.randint(*SOUND_EVENTS_PER_RUN)):
        start = rng.uniform(0.0, LATEST_SOUND_START_SECONDS)
        event_class = rng.choice(SOUND_EVENT_CLASSES)
        events.append(_draw_pause(rng, event_class, start))
    return sorted(events, key=lambda event: event.start_seconds)


def _draw_pause(rng, fault_class, start):
    """Return a fault that lasts as long as the silence of a sound target."""
    end = start + rng.uniform(*PAUSE_SECONDS)
    return fault_class(start, end, rng.randrange(1000))
