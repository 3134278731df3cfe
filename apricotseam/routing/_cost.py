"""Estimated cost of sending work to a target, in seconds per token."""

# Each full batch of waiting streams adds this many more step times.
OVERLOAD_SLOPE = 4.0
# Assumed for a target that has not reported them.
DEFAULT_STEP_SECONDS = 0.02
DEFAULT_BATCH = 16
# Costs are divided by the slow-start share, but by no less than this.
MIN_SLOW_START_SHARE = 0.05


def utilisation(load, max_batch, share=1.0):
    """Return the fraction of a target's batch that its load fills.

    Parameters
    ----------
    load : float
        Number of streams at the target.
    max_batch : int
        Number of steps that it runs at once.
    share : float
        Fraction of its time that a stream spends at this target: the
        number of layers of the target divided by that of the model.

    Examples
    --------
    >>> utilisation(16, 16, 0.5)
    0.5
    """
    return load * share / max(1, max_batch)


def token_seconds(step_seconds, used):
    """Return the expected time of one step in seconds.

    It grows with the batch and, once the batch is full, with the queue.

    Parameters
    ----------
    step_seconds : float
        Time of a step of an idle target.
    used : float
        Utilisation, 1 when the batch is full.

    Examples
    --------
    >>> token_seconds(0.02, 0.0)
    0.02
    """
    queue = max(0.0, used - 1.0)
    return step_seconds * (1.0 + used + OVERLOAD_SLOPE * queue)


def work_factor(tokens, prompt_tokens, hit_probability):
    """Return the work of a request relative to that of its answer alone.

    A prompt that is not in the cache takes steps in addition to those of
    the answer.

    Parameters
    ----------
    tokens : int
        Maximum length of the answer, in tokens.
    prompt_tokens : int
        Length of the prompt, in tokens.
    hit_probability : float
        Probability that the prompt is in the target's cache.

    Examples
    --------
    >>> work_factor(32, 32, 0.5)
    1.5
    """
    return 1.0 + (1.0 - hit_probability) * prompt_tokens / max(1, tokens)
