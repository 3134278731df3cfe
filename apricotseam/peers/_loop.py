"""The asyncio loop of the control path, in a thread of its own."""

import asyncio
import threading


class ControlLoop:
    """Runs coroutines of the control path for other threads."""

    def __init__(self):
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self._loop.run_forever, name="control-loop", daemon=True
        )

    def start(self):
        """Start the loop's thread."""
        self._thread.start()

    def submit(self, coroutine):
        """Schedule a coroutine and return its `concurrent` future."""
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop)

    def run(self, coroutine, timeout=None):
        """Run a coroutine to its end and return its result.

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
        """Stop the loop and end its thread."""
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(5)
