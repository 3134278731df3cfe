"""Children of the supervisor tree that listen on addresses."""

from apricotseam.supervision import Child


class ListenerChild(Child):
    """Serves one HTTP listener.

    Parameters
    ----------
    name : str
        Name in the log.
    listener : Listener
        The listener to start and stop.
    """

    def __init__(self, name, listener):
        self.name = name
        self._listener = listener

    def start(self):
        """Bind the address."""
        self._listener.start()

    def run(self, stopping):
        """Wait for the end; the listener has its own threads."""
        stopping.wait()

    def stop(self):
        """Close the address."""
        self._listener.stop()


class PeersChild(Child):
    """Runs the control loop and the transport between hosts.

    Parameters
    ----------
    loop : ControlLoop
        Loop of the control path.
    transport : PeerTransport
        Messages between hosts.
    """

    name = "peers"

    def __init__(self, loop, transport):
        self._loop = loop
        self._transport = transport

    def start(self):
        """Start the loop and listen."""
        self._loop.start()
        self._transport.start()

    def run(self, stopping):
        """Wait for the end; the loop has its own thread."""
        stopping.wait()

    def stop(self):
        """Close the listener and end the loop."""
        self._transport.stop()
        self._loop.stop()
