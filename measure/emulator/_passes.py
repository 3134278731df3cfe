"""Passes of an emulated engine over all work that waits there."""

MILLISECONDS_PER_SECOND = 1000.0


class PassRunner:
    """Processes jobs in passes.

    A pass runs the steps of one event for each job that generates. It reads
    a limited number of prompt tokens, the first jobs first.

    Parameters
    ----------
    site : Site
        Profile and clock that all targets share.
    kind : AcceleratorKind
        The engine's accelerator.

    Attributes
    ----------
    slowdown : float
        Factor by which passes take longer.
    """

    __slots__ = (
        "_is_running",
        "_is_stopped",
        "_jobs",
        "_kind",
        "_loop",
        "_profile",
        "slowdown",
    )

    def __init__(self, site, kind):
        self._loop = site.loop
        self._profile = site.profile
        self._kind = kind
        self._jobs = []
        self._is_running = False
        self._is_stopped = False
        self.slowdown = 1.0

    def submit(self, job):
        """Add a job."""
        self._jobs.append(job)
        if not self._is_running:
            self._start()

    def stop(self):
        """Stop for good; return the jobs that will not be done."""
        self._is_stopped = True
        jobs, self._jobs = self._jobs, []
        return [job for job in jobs if not job.is_void]

    def _start(self):
        self._jobs = [job for job in self._jobs if not job.is_void]
        if not self._jobs:
            return
        self._is_running = True
        writes = [job for job in self._jobs if not job.is_read]
        parts = self._read_parts()
        seconds = self._seconds(writes, parts)
        self._loop.call_later(seconds, self._finish, writes, parts)

    def _read_parts(self):
        """Return the jobs to read in this pass, with numbers of tokens."""
        profile = self._profile
        room = profile.chunk_tokens * profile.tokens_per_event
        parts = []
        for job in self._jobs:
            if job.is_read and room > 0:
                tokens = min(room, job.tokens)
                room -= tokens
                parts.append((job, tokens))
        return parts

    def _seconds(self, writes, parts):
        """Return the duration of a pass."""
        milliseconds = self._write_ms(writes) + self._read_ms(parts)
        return milliseconds * self.slowdown / MILLISECONDS_PER_SECOND

    def _write_ms(self, writes):
        if not writes:
            return 0.0
        profile = self._profile
        layers = max(job.layers.size for job in writes)
        step_ms = profile.step_ms * layers
        for job in writes:
            context_ms = (
                job.stream.context * profile.step_ms_per_1000_tokens / 1000.0
            )
            own_ms = profile.step_ms_per_request + context_ms
            step_ms += own_ms * job.layers.size
        share_ms = step_ms * self._kind.step_factor / profile.layers
        return share_ms * profile.tokens_per_event

    def _read_ms(self, parts):
        profile = self._profile
        total_ms = 0.0
        for job, tokens in parts:
            pairs = tokens * (job.done + tokens / 2.0)
            read_ms = (
                tokens
                * MILLISECONDS_PER_SECOND
                / profile.read_tokens_per_second
                + pairs / 1e6 * profile.read_ms_per_million_pairs
            )
            total_ms += read_ms * job.layers.size
        return total_ms * self._kind.read_factor / profile.layers

    def _finish(self, writes, parts):
        if self._is_stopped:
            return
        ended = list(writes)
        for job, tokens in parts:
            job.done += tokens
            job.tokens -= tokens
            if job.tokens <= 0:
                ended.append(job)
        done = set(map(id, ended))
        self._jobs = [job for job in self._jobs if id(job) not in done]
        for job in ended:
            if not job.is_void:
                job.stream.advance()
        self._is_running = False
        self._start()
