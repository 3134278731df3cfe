"""Delays on request threads and on the control loop."""

import abc
import asyncio
import time


class Waiter(abc.ABC):
    """Interface for delays, which tests replace."""

    @abc.abstractmethod
    def wait(self, seconds):
        """Block a request's thread for a number of seconds."""

    @abc.abstractmethod
    async def wait_async(self, seconds):
        """Wait on the control loop without blocking it."""


class SystemWaiter(Waiter):
    """Waits in real time."""

    def wait(self, seconds):
        """Block a request's thread for a number of seconds."""
        time.sleep(seconds)

    async def wait_async(self, seconds):
        """Wait on the control loop without blocking it."""
        await asyncio.sleep(seconds)
