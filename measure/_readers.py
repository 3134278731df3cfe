"""Callers that note when each token of their answer arrived."""

import threading
import time

from apricotseam.client import ResumingAnswer
from apricotseam.errors import ApricotseamError
from apricotseam.standins import reference_answer
from measure._engines import CUSTOMER_KEY


class TimedAnswer:
    """One answer that is read in a thread.

    Parameters
    ----------
    addresses : list of str
        Callers' addresses in the order to try them.
    prompt : str
        Text of the message.
    tokens : int
        Length of the answer.
    layers : int
        Layers of the model.
    kind : type
        Class of the caller.
    """

    def __init__(self, addresses, prompt, tokens, layers, kind=ResumingAnswer):
        self.times = []
        self.texts = []
        self.error = None
        self._answer = kind(CUSTOMER_KEY, "q", prompt, tokens)
        self._addresses = addresses
        text = f'[["user","{prompt}"]]'
        self._wanted = reference_answer("v1", layers, text, tokens)
        self._thread = threading.Thread(target=self._read, daemon=True)

    @property
    def is_whole(self):
        """Whether each token arrived once, in order."""
        return self.texts == self._wanted

    @property
    def is_right(self):
        """Whether no token was lost or repeated as far as it went."""
        return self.texts == self._wanted[: len(self.texts)]

    def start(self):
        """Begin to read."""
        self._thread.start()
        return self

    def join(self, seconds=60.0):
        """Wait for the end of the answer."""
        self._thread.join(seconds)

    def wait_for(self, count, seconds=30.0):
        """Wait until a number of tokens arrived."""
        deadline = time.monotonic() + seconds
        while len(self.times) < count and time.monotonic() < deadline:
            time.sleep(0.002)

    def gap_after(self, moment):
        """Return the seconds from a moment to the next token, or None."""
        later = [t for t in self.times if t > moment]
        return later[0] - moment if later else None

    def _read(self):
        try:
            for text in self._answer.read_at(self._addresses):
                self.times.append(time.monotonic())
                self.texts.append(text)
        except ApricotseamError as error:
            self.error = error


def percentile(values, share):
    """Return the value below which a share of the values lies.

    Examples
    --------
    >>> percentile([3.0, 1.0, 2.0], 0.5)
    2.0
    """
    ordered = sorted(values)
    if not ordered:
        return float("nan")
    index = min(len(ordered) - 1, int(share * len(ordered)))
    return ordered[index]
