"""Callers that ask steadily and check every answer."""

import random
import threading
import time

from apricotseam.client import ResumingAnswer
from apricotseam.errors import ApricotseamError
from apricotseam.standins import reference_answer

PAUSE_SECONDS = 0.02
TOKENS = 24


class Question:
    """A prompt of one customer and the answer that is right."""

    __slots__ = ("_key", "_model", "_prompt", "expected")

    def __init__(self, customer, model, prompt, layers, tokens=TOKENS):
        self._key = f"demo-key-{customer}"
        self._model = model
        self._prompt = prompt
        payload = f'[["user","{prompt}"]]'
        self.expected = reference_answer("v1", layers, payload, tokens)

    def open(self):
        """Return a new `ResumingAnswer` to the question."""
        return ResumingAnswer(
            self._key, self._model, self._prompt, len(self.expected)
        )


class SteadyCallers:
    """Threads that ask questions until stopped and count the answers.

    Parameters
    ----------
    questions : list of Question
        Asked in random order, with a fixed seed for each thread.
    addresses : callable
        Returns the addresses to ask, in order.
    threads : int
        Number of callers.
    """

    def __init__(self, questions, addresses, threads=6):
        self._questions = questions
        self._addresses = addresses
        self._stopping = threading.Event()
        self._lock = threading.Lock()
        self._threads = [
            threading.Thread(target=self._work, args=(seed,), daemon=True)
            for seed in range(threads)
        ]
        self.whole = 0
        self.wrong = 0
        self.failed = []

    def start(self):
        """Start to ask; return the callers themselves."""
        for thread in self._threads:
            thread.start()
        return self

    def stop(self):
        """End after the answers in progress."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def _work(self, seed):
        generator = random.Random(seed)
        while not self._stopping.is_set():
            self._ask(generator)
            time.sleep(PAUSE_SECONDS)

    def _ask(self, generator):
        question = generator.choice(self._questions)
        addresses = self._addresses()
        generator.shuffle(addresses)
        try:
            got = list(question.open().read_at(addresses))
        except ApricotseamError as error:
            with self._lock:
                self.failed.append(error.code)
            return
        with self._lock:
            self.whole += got == question.expected
            self.wrong += got != question.expected
