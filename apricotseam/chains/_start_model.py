"""Estimated time until the first event of a request on a chain."""

import math

import msgspec

from apricotseam.chains._cost import ChainModel

BITS_PER_BYTE = 8
BITS_PER_MEGABIT = 1e6
MS_PER_SECOND = 1000.0
# Prefix of the key of the link between zones; target identities have none.
LINK_PREFIX = "link:"


def link_resource(service):
    """Return the key under which the link between zones is booked.

    Parameters
    ----------
    service : str
        Name of the service whose chains share the link.

    Examples
    --------
    >>> link_resource("model")
    'link:model'
    """
    return LINK_PREFIX + service


class StageLoad(msgspec.Struct, frozen=True):
    """One stage of a chain and the load on its target.

    ``step_factor`` and ``read_factor`` include the target's slowness.
    ``layers`` is the number that the stage runs, ``running`` the number of
    requests at the target. ``start_ms`` is the start work that is booked
    there, in milliseconds.
    """

    resource: str
    zone: str
    layers: int
    step_factor: float
    read_factor: float
    running: int
    start_ms: float


class StartEstimate(msgspec.Struct, frozen=True):
    """When the first event of a request is expected.

    ``milliseconds`` is counted from now. ``queue_ms`` is the part of it that
    the request waits behind others, at ``resource``. ``start_work`` are pairs
    of resource and milliseconds that the request itself needs there.
    """

    milliseconds: float
    queue_ms: float
    resource: str
    start_work: tuple[tuple[str, float], ...]


class StartModel:
    """Estimates starts from the declared profile of a service's engines.

    Parameters
    ----------
    service : Service
        A service with an engine.
    """

    __slots__ = ("_link", "_model", "_profile")

    def __init__(self, service):
        self._profile = service.engine
        self._model = ChainModel(service.engine)
        self._link = link_resource(service.name)

    @property
    def link(self):
        """Key of the link between zones."""
        return self._link

    def transfer_ms(self, tokens):
        """Return the time of a prompt on the link between zones.

        It is 0 if no bandwidth is declared.
        """
        profile = self._profile
        if not profile.inter_zone_mbps:
            return 0.0
        bits = tokens * profile.activation_bytes * BITS_PER_BYTE
        bits_per_second = profile.inter_zone_mbps * BITS_PER_MEGABIT
        return bits * MS_PER_SECOND / bits_per_second

    def queue_ms(self, stage):
        """Return how long a prompt waits for those booked at a stage.

        Each pass reads some of the waiting prompts, and runs the steps of
        one event for all requests that write.
        """
        if not stage.start_ms:
            return 0.0
        profile = self._profile
        pass_tokens = profile.chunk_tokens * profile.tokens_per_event
        pass_ms = self._model.read_ms(
            stage.read_factor, stage.layers, pass_tokens
        )
        return stage.start_ms * (
            1.0 + self._write_ms(stage, stage.running) / pass_ms
        )

    def estimate(self, stages, tokens, link_ms=0.0):
        """Return the `StartEstimate` of a request on a chain.

        Parameters
        ----------
        stages : list of StageLoad
            The stages in order.
        tokens : float
            Tokens that have to be read.
        link_ms : float
            Start work booked on the link between zones, in milliseconds.
        """
        work = self._work(stages, tokens)
        queues = [(self.queue_ms(stage), stage.resource) for stage in stages]
        if _count_crossings(stages):
            queues.append((link_ms, self._link))
        queue_ms, resource = max(queues)
        own_ms = sum(ms for _, ms in work)
        # It waits for the pass in progress, then its own first steps run.
        own_ms += sum(
            self._write_ms(stage, stage.running)
            + self._write_ms(stage, stage.running + 1)
            for stage in stages
        )
        return StartEstimate(
            queue_ms + own_ms, queue_ms, resource, tuple(work)
        )

    def usual_work(self, stages):
        """Return the start work of a usual prompt on a chain.

        Parameters
        ----------
        stages : list of StageLoad
            The stages in order.

        Returns
        -------
        list of tuple
            Pairs of resource and milliseconds.
        """
        return self._work(stages, self._profile.usual_prompt_tokens)

    def _work(self, stages, tokens):
        work = [
            (
                stage.resource,
                self._model.read_ms(stage.read_factor, stage.layers, tokens),
            )
            for stage in stages
        ]
        crossings = _count_crossings(stages)
        if crossings:
            work.append((self._link, crossings * self.transfer_ms(tokens)))
        return work

    def _write_ms(self, stage, running):
        """Return the time of one event's steps of all running requests."""
        if not running:
            return 0.0
        steps = self._profile.tokens_per_event
        return steps * self._model.step_ms(
            stage.step_factor, stage.layers, running
        )


def _count_crossings(stages):
    """Return how often a chain passes from one zone to another."""
    zones = [stage.zone for stage in stages]
    return sum(a != b for a, b in zip(zones, zones[1:]))


def tokens_to_read(prompt_tokens, events, profile):
    """Return the tokens that a chain has to read before it goes on.

    Parameters
    ----------
    prompt_tokens : float
        Length of the prompt; the usual one counts if it is 0.
    events : int
        Events that the caller has received, whose tokens are read again.
    profile : EngineProfile
        Profile of the engines.
    """
    prompt = prompt_tokens or profile.usual_prompt_tokens
    return math.ceil(prompt) + events * profile.tokens_per_event
