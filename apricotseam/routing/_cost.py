"""Cost of giving work to a target, in seconds for each token."""

OVERLOAD_SLOPE = 4.0
DEFAULT_STEP_SECONDS = 0.02
DEFAULT_BATCH = 16
MIN_WARMTH = 0.05


def utilisation(load, max_batch, share=1.0):
    """Return the share of a target's batch that its load fills.

    Parameters
    ----------
    load : float
        Streams at the target.
    max_batch : int
        Steps that it runs at once.
    share : float
        Share of the time that a stream spends at this target: its layers
        over the layers of the model.

    Examples
    --------
    >>> utilisation(16, 16, 0.5)
    0.5
    """
    return load * share / max(1, max_batch)


def token_seconds(step_seconds, used):
    """Return the expected time of one step.

    It rises with the batch and, past a full batch, with the queue.

    Examples
    --------
    >>> token_seconds(0.02, 0.0)
    0.02
    """
    queue = max(0.0, used - 1.0)
    return step_seconds * (1.0 + used + OVERLOAD_SLOPE * queue)


def work_factor(tokens, prompt_tokens, chance):
    """Return how much work a request is, over that of its answer alone.

    A prompt that is not held costs steps of its own beside the answer's.

    Examples
    --------
    >>> work_factor(32, 32, 0.5)
    1.5
    """
    return 1.0 + (1.0 - chance) * prompt_tokens / max(1, tokens)
