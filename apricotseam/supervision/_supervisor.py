"""Supervisor of children that each run in a thread."""

import abc
import collections
import logging
import threading
import time

_LOG = logging.getLogger(__name__)

MAX_RESTARTS = 5
RESTART_WINDOW_SECONDS = 60.0
RESTART_DELAY_SECONDS = 0.2
# Each child has at least this time to stop, even if other children have used
# up the time until the deadline.
MIN_STOP_SECONDS = 0.5


class Child(abc.ABC):
    """Part of the process that a supervisor starts, restarts and stops."""

    name = "child"

    def start(self):
        """Acquire resources; called once before the first `run`."""

    @abc.abstractmethod
    def run(self, stopping):
        """Work until the event `stopping` is set.

        If it raises an exception or returns early, it is called again,
        within the limit on restarts.

        Parameters
        ----------
        stopping : threading.Event
            Set when the child has to stop.
        """

    def stop(self):
        """Release resources; called once, even if `run` is still running."""


class Supervisor:
    """Starts children in order and stops them in the opposite order.

    A child whose `Child.run` ends early is run again, up to `MAX_RESTARTS`
    times in `RESTART_WINDOW_SECONDS`.

    Parameters
    ----------
    name : str
        Name of the supervisor.
    children : list of Child
        Children, in the order in which to start them.
    on_failure : callable
        Called with the name of the first child that exceeds the limit on
        restarts.
    """

    def __init__(self, name, children, on_failure):
        self._name = name
        self._on_failure = on_failure
        self._runners = [
            _ChildRunner(child, self._report_failure) for child in children
        ]
        self._failure_reported = threading.Event()

    def start(self):
        """Start all children, first to last."""
        for runner in self._runners:
            runner.start()

    def stop(self, deadline):
        """Stop all children, last to first.

        Parameters
        ----------
        deadline : float
            Monotonic time in seconds until which to wait for the children.
            Each child is given at least `MIN_STOP_SECONDS`.

        Returns
        -------
        list of str
            Names of children that did not end in time.
        """
        unstopped = []
        for runner in reversed(self._runners):
            if not runner.stop(deadline):
                unstopped.append(runner.name)
                _LOG.error("child_stop_timeout", extra={"child": runner.name})
        return unstopped

    def _report_failure(self, name):
        if not self._failure_reported.is_set():
            self._failure_reported.set()
            self._on_failure(name)


class _ChildRunner:
    """Runs one child in a thread and restarts it.

    ``_restarts`` holds the times, in monotonic seconds, at which recent
    restarts cease to count.
    """

    __slots__ = (
        "_child",
        "_report_failure",
        "_restarts",
        "_stopping",
        "_thread",
    )

    def __init__(self, child, report_failure):
        self._child = child
        self._report_failure = report_failure
        self._restarts = collections.deque()
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._loop, name=child.name, daemon=True
        )

    @property
    def name(self):
        """Name of the child."""
        return self._child.name

    def start(self):
        """Start the child and its thread."""
        self._child.start()
        self._thread.start()

    def stop(self, deadline):
        """Stop the child; return whether it ended in time."""
        self._stopping.set()
        if self._thread.is_alive():
            remaining = deadline - time.monotonic()
            self._thread.join(max(MIN_STOP_SECONDS, remaining))
        self._child.stop()
        return not self._thread.is_alive()

    def _loop(self):
        while not self._stopping.is_set():
            try:
                self._child.run(self._stopping)
            except Exception:
                _LOG.exception("child_failed", extra={"child": self.name})
            if self._stopping.is_set():
                return
            if not self._may_restart():
                self._report_failure(self.name)
                return
            self._stopping.wait(RESTART_DELAY_SECONDS)

    def _may_restart(self):
        now = time.monotonic()
        while self._restarts and self._restarts[0] <= now:
            self._restarts.popleft()
        self._restarts.append(now + RESTART_WINDOW_SECONDS)
        return len(self._restarts) <= MAX_RESTARTS
