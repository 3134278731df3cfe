"""Asyncio event loop of the control path, run in its own thread."""

import asyncio
import threading


class ControlLoop:
    """Event loop on which other threads run control-path coroutines.

    All messages between hosts are sent and handled on it.
    """

    def __init__(self):
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self._loop.run_forever, name="control-loop", daemon=True
        )

    def start(self):
        """Start the loop's thread."""
        self._thread.start()

    def submit(self, coroutine):
        """Schedule a coroutine and return its `concurrent.futures.Future`."""
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop)

    def run(self, coroutine, timeout=None):
        """Run a coroutine to completion and return its result.

        Must not be called on the loop's own thread, which would block.

        Raises
        ------
        TimeoutError
            If it takes longer than `timeout` seconds.
        """
        future = self.submit(coroutine)
        try:
            return future.result(timeout)
        except TimeoutError:
            future.cancel()
            raise

    def stop(self):
        """Stop the loop and wait up to 5 s for its thread to end."""
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(5)
