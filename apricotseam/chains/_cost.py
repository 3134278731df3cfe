"""Estimated times of a chain, from the declared engine profile."""

# Fraction of the longest pause between events that token steps may take.
PAUSE_SHARE = 0.6
# Time to pass a token step on to the next stage of a chain.
HOP_MS = 0.4


class ChainModel:
    """Estimates step times and request rates of a service's chains.

    Parameters
    ----------
    profile : EngineProfile
        Declared speed and memory needs of the engines.
    pause_ms : float
        Longest allowed pause between events, in milliseconds.
    """

    __slots__ = ("_pause_ms", "_profile")

    def __init__(self, profile, pause_ms=200.0):
        self._profile = profile
        self._pause_ms = pause_ms

    @property
    def usual_tokens(self):
        """Mean number of tokens that a typical request holds while it runs."""
        profile = self._profile
        return profile.usual_prompt_tokens + profile.usual_answer_tokens / 2

    def step_ms(self, factor, layers, running):
        """Return the duration of a token step in one stage, in milliseconds.

        Parameters
        ----------
        factor : float
            Step factor of the accelerator.
        layers : int
            Number of layers that the stage runs.
        running : float
            Number of requests that run there at the same time.
        """
        profile = self._profile
        context_thousands = running * self.usual_tokens / 1000.0
        whole_model_ms = (
            profile.step_ms
            + profile.step_ms_per_request * running
            + profile.step_ms_per_1000_tokens * context_thousands
        )
        return whole_model_ms * factor * layers / profile.layers

    def read_ms(self, factor, layers, tokens):
        """Return the time to read a prompt in one stage, in milliseconds.

        Parameters
        ----------
        factor : float
            Read factor of the accelerator.
        layers : int
            Number of layers that the stage runs.
        tokens : float
            Length of the prompt, in tokens.
        """
        profile = self._profile
        # Each token attends to those before it: tokens**2 / 2 pairs.
        pairs_ms = tokens * tokens / 2e6 * profile.read_ms_per_million_pairs
        whole_model_ms = (
            tokens * 1000.0 / profile.read_tokens_per_second + pairs_ms
        )
        return whole_model_ms * factor * layers / profile.layers

    def served_rate(self, stages, token_capacity):
        """Return the requests per second that a chain serves on time.

        Requests are on time if the pauses between events stay within the
        longest allowed pause.

        Parameters
        ----------
        stages : list of tuple
            Step factor, read factor and number of layers of each stage.
        token_capacity : float
            Number of tokens that fit into the chain's memory.
        """
        running = min(
            token_capacity / self.usual_tokens, float(self._profile.slots)
        )
        if running < 1:
            return 0.0
        while running >= 1:
            token_ms = self._token_ms(stages, running)
            event_ms = token_ms * self._profile.tokens_per_event
            if event_ms <= self._pause_ms * PAUSE_SHARE:
                break
            running *= 0.8
        prompt = self._profile.usual_prompt_tokens
        answer = self._profile.usual_answer_tokens
        reads = [self.read_ms(read, n, prompt) for _, read, n in stages]
        seconds = (sum(reads) + answer * token_ms) / 1000.0
        rate = running / seconds
        # Prompt reads share each stage with token steps, so they may take up
        # only 60 % of the time of the slowest stage.
        return min(rate, 0.6 * 1000.0 / max(reads))

    def _token_ms(self, stages, running):
        """Return the time of a token through all stages, in milliseconds."""
        steps = sum(
            self.step_ms(step, layers, running) for step, _, layers in stages
        )
        return steps + HOP_MS * len(stages)
