"""Load generator that checks every answer."""

import random
import threading
import time

from apricotseam.client import ResumingAnswer
from apricotseam.errors import ApricotseamError
from apricotseam.standins import reference_answer

# Pause of a caller between two questions.
PAUSE_SECONDS = 0.02
ANSWER_TOKENS = 24


class Question:
    """A prompt of one customer and the expected answer.

    Parameters
    ----------
    customer : str
        Name of the customer, from which its key is derived.
    model : str
        Name of the pipeline to ask.
    prompt : str
        Text of the prompt.
    layers : int
        Number of layers of the model.
    tokens : int
        Number of tokens of the answer.
    """

    __slots__ = ("_key", "_model", "_prompt", "expected")

    def __init__(self, customer, model, prompt, layers, tokens=ANSWER_TOKENS):
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


class LoadGenerator:
    """Threads that send questions until stopped and check the answers.

    Parameters
    ----------
    questions : list of Question
        Sent in random order, with a fixed seed for each thread.
    addresses : callable
        Returns a new list of the hosts' addresses; callers shuffle it.
    threads : int
        Number of concurrent callers.

    Attributes
    ----------
    correct, incorrect : int
        Number of answers that are as expected, and of those that are not.
    failed : list of str
        Error code of each question that got no complete answer.
    """

    def __init__(self, questions, addresses, threads=6):
        self._questions = questions
        self._addresses = addresses
        self._stopping = threading.Event()
        self._lock = threading.Lock()
        self._threads = [
            threading.Thread(
                target=self._run_caller, args=(seed,), daemon=True
            )
            for seed in range(threads)
        ]
        self.correct = 0
        self.incorrect = 0
        self.failed = []

    def start(self):
        """Start all threads; return the generator itself."""
        for thread in self._threads:
            thread.start()
        return self

    def stop(self):
        """Stop the threads when their current answers have ended."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def _run_caller(self, seed):
        rng = random.Random(seed)
        while not self._stopping.is_set():
            self._ask(rng)
            time.sleep(PAUSE_SECONDS)

    def _ask(self, rng):
        question = rng.choice(self._questions)
        addresses = self._addresses()
        rng.shuffle(addresses)
        try:
            tokens = list(question.open().read_from_addresses(addresses))
        except ApricotseamError as error:
            with self._lock:
                self.failed.append(error.code)
            return
        with self._lock:
            self.correct += tokens == question.expected
            self.incorrect += tokens != question.expected
