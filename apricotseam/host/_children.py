"""Supervised components that listen on network addresses."""

from apricotseam.supervision import Child


class ListenerChild(Child):
    """Runs one HTTP listener.

    Parameters
    ----------
    name : str
        Name of the component in the log.
    listener : Listener
        The listener to start and stop.
    """

    def __init__(self, name, listener):
        self.name = name
        self._listener = listener

    def start(self):
        """Bind the address and accept connections."""
        self._listener.start()

    def run(self, stopping):
        """Wait until told to stop; the listener has its own threads."""
        stopping.wait()

    def stop(self):
        """Stop the listener."""
        self._listener.stop()


class PeersChild(Child):
    """Runs the control loop and the transport between hosts.

    Parameters
    ----------
    loop : ControlLoop
        Event loop of the control path.
    transport : PeerTransport
        Exchanges messages between hosts.
    """

    name = "peers"

    def __init__(self, loop, transport):
        self._loop = loop
        self._transport = transport

    def start(self):
        """Start the loop and listen for messages of other hosts."""
        self._loop.start()
        self._transport.start()

    def run(self, stopping):
        """Wait until told to stop; the loop has its own thread."""
        stopping.wait()

    def stop(self):
        """Stop the transport, then the loop."""
        self._transport.stop()
        self._loop.stop()
