"""Faults that come from outside the processes, drawn by a seed."""

import abc
import asyncio
import signal

STOP_WAIT_SECONDS = 4.5
LATEST_SECONDS = 6.0
LONGEST_SECONDS = 2.5
FAULTS = (4, 9)


class Fault(abc.ABC):
    """A fault with a start, an end and a place.

    Parameters
    ----------
    at_seconds : float
        Its start, from the start of the faults.
    end_seconds : float
        Its end, on the same scale.
    place : int
        Number of what it strikes, taken modulo how many there are.
    """

    __slots__ = ("at_seconds", "end_seconds", "place")

    def __init__(self, at_seconds, end_seconds, place):
        self.at_seconds = at_seconds
        self.end_seconds = end_seconds
        self.place = place

    def __repr__(self):
        return (
            f"{type(self).__name__} {self.at_seconds:.2f}"
            f"-{self.end_seconds:.2f} at {self.place}"
        )

    async def strike(self, world):
        """Begin, wait and end."""
        await asyncio.sleep(self.at_seconds)
        await self._begin(world)
        await asyncio.sleep(self.end_seconds - self.at_seconds)
        await self._end(world)

    @abc.abstractmethod
    async def _begin(self, world):
        """Do the harm."""

    async def _end(self, world):
        """Undo the harm."""

    def _host(self, world):
        return world.hosts[self.place % len(world.hosts)]

    def _backend(self, world):
        return world.backends[self.place % len(world.backends)]

    def _store_link(self, world):
        return world.store_links[self.place % len(world.store_links)]


class KillHost(Fault):
    """A host's process is killed and started again."""

    __slots__ = ()

    async def _begin(self, world):
        self._host(world).kill()

    async def _end(self, world):
        self._host(world).start()


class StopHost(Fault):
    """A host is told to stop, and started again when it has ended."""

    __slots__ = ()

    async def _begin(self, world):
        host = self._host(world)
        host.is_wanted = False
        host.signal(signal.SIGTERM)

    async def _end(self, world):
        await asyncio.sleep(STOP_WAIT_SECONDS)
        self._host(world).kill()
        self._host(world).start()


class PauseHost(Fault):
    """A host's process stands still for a while."""

    __slots__ = ()

    async def _begin(self, world):
        self._host(world).signal(signal.SIGSTOP)

    async def _end(self, world):
        self._host(world).signal(signal.SIGCONT)


class ReloadHost(Fault):
    """A host reads its settings again."""

    __slots__ = ()

    async def _begin(self, world):
        self._host(world).signal(signal.SIGHUP)


class CrashTarget(Fault):
    """A target ends, and comes back empty under its identity."""

    __slots__ = ()

    async def _begin(self, world):
        backend = self._backend(world)
        if backend.is_up:
            world.crash(backend)

    async def _end(self, world):
        backend = self._backend(world)
        if not backend.is_up:
            await world.raise_up(backend)


class DrainTarget(Fault):
    """A target takes no new work for a while."""

    __slots__ = ()

    async def _begin(self, world):
        self._mark(world, True)

    async def _end(self, world):
        self._mark(world, False)

    def _mark(self, world, is_draining):
        backend = self._backend(world)
        backend.is_draining = is_draining
        if backend.is_up:
            world.register(backend)


class SilenceTarget(Fault):
    """Nothing passes to and from a target; connections stay open."""

    __slots__ = ()

    async def _begin(self, world):
        link = self._backend(world).link
        link.there.hold()
        link.back.hold()

    async def _end(self, world):
        self._backend(world).link.heal()


class DeafTarget(Fault):
    """Requests reach a target, and its answers do not come back."""

    __slots__ = ()

    async def _begin(self, world):
        self._backend(world).link.back.hold()

    async def _end(self, world):
        self._backend(world).link.heal()


class DelayTarget(Fault):
    """Each piece to a target comes late."""

    __slots__ = ()

    async def _begin(self, world):
        self._backend(world).link.there.delay_seconds = 0.15

    async def _end(self, world):
        self._backend(world).link.heal()


class ResetTarget(Fault):
    """All connections to a target are reset."""

    __slots__ = ()

    async def _begin(self, world):
        self._backend(world).link.reset()


class SickTarget(Fault):
    """A target answers with failures or refusals while it looks well."""

    __slots__ = ()

    async def _begin(self, world):
        behaviours = ("error", "shed", "cut", "stray")
        target = self._backend(world).target
        target.behaviour = behaviours[self.place % len(behaviours)]

    async def _end(self, world):
        self._backend(world).target.behaviour = "good"


class RefusingStore(Fault):
    """The store turns a host away."""

    __slots__ = ()

    async def _begin(self, world):
        world.store.refused.add(self._door(world))

    async def _end(self, world):
        world.store.refused.discard(self._door(world))

    def _door(self, world):
        return world.doors[self.place % len(world.doors)]


class SilentStore(Fault):
    """The store is out of reach of all hosts."""

    __slots__ = ()

    async def _begin(self, world):
        for link in world.store_links:
            link.there.hold()
            link.back.hold()

    async def _end(self, world):
        for link in world.store_links:
            link.heal()


class ResetStore(Fault):
    """A host's connections to the store are reset."""

    __slots__ = ()

    async def _begin(self, world):
        self._store_link(world).reset()


class ForgetfulStore(Fault):
    """The store loses its history and the answers of some changes."""

    __slots__ = ()

    async def _begin(self, world):
        world.store.forget_history()
        world.store.lost_answers += 2


class ChangeConfiguration(Fault):
    """The operator declares a new version, and another one soon after."""

    __slots__ = ()

    async def _begin(self, world):
        world.declare()

    async def _end(self, world):
        world.declare()


KINDS = (
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


def draw_faults(random):
    """Return the faults of one run in order of their start.

    Parameters
    ----------
    random : random.Random
        Source of all choices.
    """
    faults = []
    for _ in range(random.randint(*FAULTS)):
        at = random.uniform(0.0, LATEST_SECONDS)
        end = at + random.uniform(0.1, LONGEST_SECONDS)
        faults.append(random.choice(KINDS)(at, end, random.randrange(1000)))
    return sorted(faults, key=lambda fault: fault.at_seconds)
