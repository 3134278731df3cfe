"""Callers that record when each token of their answer arrived."""

import threading
import time

from apricotseam.client import ResumingAnswer
from apricotseam.errors import ApricotseamError
from apricotseam.standins import reference_answer
from measure._engines import CUSTOMER_KEY


class TimedAnswer:
    """One answer, read in a thread that records the time of each token.

    Parameters
    ----------
    addresses : list of str
        Addresses of the callers' listeners of hosts, in the order to try.
    prompt : str
        Text of the user message.
    tokens : int
        Length of the answer in tokens.
    layers : int
        Number of layers of the model.
    client_class : type
        Client that reads the answer: `ResumingAnswer` or a subclass.
    """

    def __init__(
        self, addresses, prompt, tokens, layers, client_class=ResumingAnswer
    ):
        self.times = []
        self.texts = []
        self.error = None
        self._answer = client_class(CUSTOMER_KEY, "q", prompt, tokens)
        self._addresses = addresses
        text = f'[["user","{prompt}"]]'
        self._expected_texts = reference_answer("v1", layers, text, tokens)
        self._thread = threading.Thread(target=self._read, daemon=True)

    @property
    def is_complete(self):
        """Whether every token of the answer arrived once and in order."""
        return self.texts == self._expected_texts

    @property
    def is_complete_so_far(self):
        """Whether the tokens so far arrived without loss or repetition."""
        return self.texts == self._expected_texts[: len(self.texts)]

    def start(self):
        """Start reading and return this answer."""
        self._thread.start()
        return self

    def join(self, seconds=60.0):
        """Wait until the answer ended, at most a number of seconds."""
        self._thread.join(seconds)

    def wait_for_tokens(self, count, seconds=30.0):
        """Wait until a number of tokens arrived, at most some seconds."""
        deadline = time.monotonic() + seconds
        while len(self.times) < count and time.monotonic() < deadline:
            time.sleep(0.002)

    def gap_after(self, moment):
        """Return the time from a moment to the next token.

        Parameters
        ----------
        moment : float
            Time of `time.monotonic` in seconds.

        Returns
        -------
        float or None
            Seconds, or None if no token arrived after the moment.
        """
        later = [t for t in self.times if t > moment]
        return later[0] - moment if later else None

    def _read(self):
        try:
            for text in self._answer.read_from_addresses(self._addresses):
                self.times.append(time.monotonic())
                self.texts.append(text)
        except ApricotseamError as error:
            self.error = error


def percentile(values, fraction):
    """Return a percentile of values, NaN if there are none.

    Parameters
    ----------
    values : iterable of float
        Values in any order.
    fraction : float
        The percentile as a fraction, such as 0.95.

    Examples
    --------
    >>> percentile([3.0, 1.0, 2.0], 0.5)
    2.0
    """
    ordered = sorted(values)
    if not ordered:
        return float("nan")
    index = min(len(ordered) - 1, int(fraction * len(ordered)))
    return ordered[index]
