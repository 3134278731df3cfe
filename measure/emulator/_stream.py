"""Generation of one answer by a chain of emulated engines."""

import collections
import itertools

from apricotseam.platform.standins import not_run_headers
from apricotseam.platform.standins import signed_headers

# Time after which work that depends on a dead engine is cut off.
STALL_SECONDS = 3.0

_admission_numbers = itertools.count()


class Job:
    """Work of one stage: a prompt to read or the steps of one event.

    ``tokens`` is the number left to process, ``done`` the number of those
    processed. A job is void once the stream has moved on without it.
    """

    __slots__ = (
        "_epoch",
        "done",
        "engine",
        "is_read",
        "layers",
        "stream",
        "tokens",
    )

    def __init__(self, stream, part, is_read, tokens):
        self.stream = stream
        self._epoch = stream.epoch
        self.engine, self.layers = part
        self.is_read = is_read
        self.tokens = tokens
        self.done = 0

    @property
    def is_void(self):
        """Whether the stream has moved on without this job."""
        return self._epoch != self.stream.epoch


class EngineStream:
    """One answer in progress; the first engine of its chain owns it.

    Parameters
    ----------
    site : Site
        Network, profile and clock that all targets share.
    request : ForwardedRequest
        The request.
    size : AnswerSize
        Tokens of the prompt and of the answer.
    connection : SimulatedConnection
        Connection to the host.
    parts : list of tuple
        Engine and `LayerRange` of each stage.

    Attributes
    ----------
    epoch : int
        Grows whenever work that was submitted becomes void.
    stalled_on : str or None
        Address of the dead engine that it waits for.
    number : int
        Position in the order of admission.
    """

    __slots__ = (
        "_events",
        "_has_sent_head",
        "_is_writing",
        "_made",
        "_plan",
        "_previous",
        "_prompt_parts",
        "_site",
        "_size",
        "connection",
        "epoch",
        "number",
        "parts",
        "request_id",
        "stalled_on",
    )

    def __init__(self, site, request, size, connection, parts):
        self._site = site
        self._size = size
        self._events = request.last_event
        self._made = request.last_event * site.profile.tokens_per_event
        self._plan = collections.deque()
        self._previous = None
        self._is_writing = False
        self._has_sent_head = False
        self._prompt_parts = request.prompt_parts
        self.request_id = request.request_id
        self.connection = connection
        self.parts = parts
        self.number = next(_admission_numbers)
        self.epoch = 0
        self.stalled_on = None

    @property
    def head(self):
        """The first engine of the chain."""
        return self.parts[0][0]

    @property
    def context(self):
        """Tokens of the prompt and of the answer so far."""
        return self._size.prompt + self._made

    def unfit_part(self):
        """Return the first engine without memory for the stream, or None."""
        for engine, layers in self.parts:
            memory = engine.memory
            needed = self.context * layers.size - memory.held_by(self)
            if needed > memory.free:
                return engine
        return None

    def start(self):
        """Take up memory and begin to read the prompt."""
        self._take_memory()
        self._begin(self.parts, is_read=True)

    def stop(self):
        """Give back all memory and void all work."""
        self.epoch += 1
        self.stalled_on = None
        for engine, _ in self.parts:
            engine.memory.give_back(self)

    def reroute(self, parts):
        """Continue on another chain with the same first engine.

        Engines that are new to the stream first read all its tokens.
        """
        self.epoch += 1
        self.stalled_on = None
        known = [engine for engine, _ in self.parts]
        wanted = [engine for engine, _ in parts]
        for engine in known:
            if engine not in wanted:
                engine.memory.give_back(self)
        self.parts = parts
        self._take_memory()
        added = [part for part in parts if part[0] not in known]
        self._begin(added or parts, is_read=bool(added))

    def advance(self):
        """Go on after a job has ended."""
        if self._plan:
            self._submit_next()
            return
        if self._is_writing and not self._finish_event():
            return
        self._begin(self.parts, is_read=False)

    def stall(self, engine):
        """Wait for a dead engine until rerouted or cut off."""
        self.epoch += 1
        self.stalled_on = engine.address
        self._site.loop.call_later(
            STALL_SECONDS, self._cut_off, self.epoch, engine.address
        )

    def _cut_off(self, epoch, address):
        if epoch != self.epoch:
            return
        if self._has_sent_head:
            self.connection.reset()
        else:
            headers = not_run_headers(self.request_id, address)
            self.connection.answer(503, headers, b"")
        self.head.discard(self)

    def _take_memory(self):
        for engine, layers in self.parts:
            memory = engine.memory
            units = self.context * layers.size
            memory.take(self, units - memory.held_by(self))

    def _begin(self, parts, is_read):
        """Submit the first of the jobs for some stages."""
        step = self._site.profile.tokens_per_event
        tokens = self.context if is_read else step
        self._is_writing = not is_read
        self._plan.clear()
        self._plan.extend(Job(self, part, is_read, tokens) for part in parts)
        self._submit_next()

    def _submit_next(self):
        job = self._plan.popleft()
        engine = job.engine
        previous = self._previous or engine
        self._previous = engine
        if previous is engine:
            engine.submit(job)
            return
        loop = self._site.loop
        size = job.tokens * self._site.profile.activation_bytes
        arrival = self._site.network.transfer_end(
            previous.zone, engine.zone, size, loop.time()
        )
        loop.call_at(arrival, engine.submit, job)

    def _finish_event(self):
        """Send an event; return whether the next one can be made now."""
        self._made += self._site.profile.tokens_per_event
        self._events += 1
        event = b"id: %d\ndata: t\n\n" % self._events
        if self._has_sent_head:
            self.connection.send_back(event)
        else:
            self._has_sent_head = True
            headers = signed_headers(self.request_id)
            self.connection.answer(200, headers, event)
            self._site.fatal.begin(self._prompt_parts, self.head)
        if self._site.fatal.is_fatal(self._prompt_parts):
            return False
        if self._made >= self._size.answer:
            self.connection.send_back(b"")
            self.head.discard(self)
            return False
        epoch = self.epoch
        self._take_memory()
        for engine, _ in self.parts:
            engine.memory.preempt_if_full()
        return epoch == self.epoch
