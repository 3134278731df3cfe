"""When refused callers are asked to return."""

# Longest share of its remaining time for which a caller honours a delay, and
# a margin for the way to it and back.
HONOURED_SHARE = 1.0 / 3.0
HONOURED_MARGIN = 0.95
# No delay is longer, whatever the caller would honour.
MAX_RETURN_SECONDS = 6.5
MIN_RETURN_SECONDS = 0.3
# Callers return in the later part of the time that they honour. A caller
# repeats a request once, so a second refusal is final, while an answer that
# is late already earns the same whether it comes soon or later.
EARLIEST_SHARE = 0.5


class ReturnSchedule:
    """Spreads the returns of callers that are refused in an overload.

    Hosts that refuse at the same time draw independently, so together they
    spread their callers evenly without telling each other.

    Parameters
    ----------
    generator : random.Random
        Draws the times.

    Examples
    --------
    >>> import random
    >>> schedule = ReturnSchedule(random.Random(1))
    >>> 3.0 < schedule.delay_seconds(20.0, 0.1) < 6.4
    True
    >>> schedule.delay_seconds(0.3, 0.1)
    0.3
    """

    def __init__(self, generator):
        self._random = generator

    def delay_seconds(self, seconds_left, excess_seconds):
        """Return after how many seconds a refused caller should return.

        Parameters
        ----------
        seconds_left : float
            Time until the caller's deadline, in seconds.
        excess_seconds : float
            By how much the start of its answer would be too late now.
        """
        longest = min(
            MAX_RETURN_SECONDS,
            HONOURED_MARGIN * HONOURED_SHARE * seconds_left,
        )
        earliest = max(
            MIN_RETURN_SECONDS,
            min(longest, max(EARLIEST_SHARE * longest, excess_seconds)),
        )
        return self._random.uniform(earliest, max(earliest, longest))
