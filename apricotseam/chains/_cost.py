"""Times of a chain, worked out from what operators declared."""

# Share of the longest pause that token steps may take up.
PAUSE_SHARE = 0.6
HOP_MS = 0.4


class ChainModel:
    """Estimates for chains of one service.

    Parameters
    ----------
    profile : EngineProfile
        The engines.
    pause_ms : float
        Longest pause between events that is still on time.
    """

    __slots__ = ("_pause_ms", "_profile")

    def __init__(self, profile, pause_ms=200.0):
        self._profile = profile
        self._pause_ms = pause_ms

    @property
    def usual_tokens(self):
        """Tokens that a usual request holds on average while it runs."""
        profile = self._profile
        return profile.usual_prompt_tokens + profile.usual_answer_tokens / 2

    def step_ms(self, factor, layers, running):
        """Return the time of one token step in one part of a chain.

        Parameters
        ----------
        factor : float
            Step factor of the accelerator.
        layers : int
            Layers that it runs.
        running : float
            Requests that run there together.
        """
        profile = self._profile
        context = running * self.usual_tokens / 1000.0
        whole = (
            profile.step_ms
            + profile.step_ms_per_request * running
            + profile.step_ms_per_1000_tokens * context
        )
        return whole * factor * layers / profile.layers

    def read_ms(self, factor, layers, tokens):
        """Return the time to read a prompt in one part of a chain."""
        profile = self._profile
        pairs = tokens * tokens / 2e6 * profile.read_ms_per_million_pairs
        whole = tokens * 1000.0 / profile.read_tokens_per_second + pairs
        return whole * factor * layers / profile.layers

    def served_rate(self, parts, token_capacity):
        """Return the requests a second that a chain serves on time.

        Parameters
        ----------
        parts : list of tuple
            Step factor, read factor and layers of each part.
        token_capacity : float
            Tokens that the chain has room for.
        """
        running = min(
            token_capacity / self.usual_tokens, float(self._profile.slots)
        )
        if running < 1:
            return 0.0
        while running >= 1:
            token_ms = self._token_ms(parts, running)
            event_ms = token_ms * self._profile.tokens_per_event
            if event_ms <= self._pause_ms * PAUSE_SHARE:
                break
            running *= 0.8
        prompt = self._profile.usual_prompt_tokens
        answer = self._profile.usual_answer_tokens
        reads = [self.read_ms(read, n, prompt) for _, read, n in parts]
        seconds = (sum(reads) + answer * token_ms) / 1000.0
        rate = running / seconds
        # Reading and writing share the slowest part.
        return min(rate, 0.6 * 1000.0 / max(reads))

    def _token_ms(self, parts, running):
        steps = sum(
            self.step_ms(step, layers, running) for step, _, layers in parts
        )
        return steps + HOP_MS * len(parts)
