"""An entry host: all parts of one process under one supervisor."""

import threading
import time

from apricotseam.admission import OpenAdmission
from apricotseam.callers import build_callers_application
from apricotseam.callers import CallerContext
from apricotseam.clock import SystemClock
from apricotseam.config import ConfigurationStore
from apricotseam.host._agreement import PeerParts
from apricotseam.host._children import ConfigurationChild
from apricotseam.host._children import ListenerChild
from apricotseam.host._children import TargetsChild
from apricotseam.host._snapshots import Snapshots
from apricotseam.operators import build_operators_application
from apricotseam.operators import OperatorContext
from apricotseam.pipelines import ChainRunner
from apricotseam.platform import EtcdService
from apricotseam.platform import HttpHostList
from apricotseam.platform import HttpModelEngine
from apricotseam.routing import RandomChooser
from apricotseam.supervision import Supervisor
from apricotseam.web import HttpClient
from apricotseam.web import Listener


class EntryHost:
    """Builds and runs the parts of one entry host.

    Parameters
    ----------
    settings : Settings
        Settings of the process.
    clock : Clock, optional
        Source of time.
    """

    def __init__(self, settings, clock=None):
        self.settings = settings
        self._clock = clock or SystemClock()
        self._failed = threading.Event()
        self._ended = threading.Event()
        self.snapshots = Snapshots(settings)
        http = HttpClient()
        engine = HttpModelEngine(http)
        service = EtcdService(http, settings.key_value_service)
        store = ConfigurationStore(service, settings.key_prefix)
        self._peers = PeerParts(settings, self._clock, service, self.snapshots)
        runner = ChainRunner(
            engine, self._clock, settings.bounds.step_timeout_seconds
        )
        callers = CallerContext(
            settings=settings,
            clock=self._clock,
            http=http,
            runner=runner,
            snapshots=self.snapshots,
            admission=OpenAdmission(),
            chooser=RandomChooser(),
            execution=self._peers.execution,
        )
        operators = OperatorContext(
            settings, self._clock, store, self.snapshots, self.request_stop
        )
        host_list = HttpHostList(http, settings.host_list)
        self._supervisor = Supervisor(
            settings.host,
            [
                self._peers,
                ConfigurationChild(store, self.snapshots),
                TargetsChild(host_list, engine, self.snapshots),
                ListenerChild("operators", self._operators(operators)),
                ListenerChild("callers", self._callers(callers)),
            ],
            self._fail,
        )

    @property
    def has_failed(self):
        """Whether a child failed too often."""
        return self._failed.is_set()

    def start(self):
        """Start all parts."""
        self._supervisor.start()

    def request_stop(self):
        """Ask the process to end; returns at once."""
        self._ended.set()

    def wait(self):
        """Wait until the process is asked to end."""
        while not self._ended.wait(1.0):
            pass

    def stop(self):
        """End all parts within the bound of the settings."""
        seconds = self.settings.bounds.stop_timeout_seconds
        return self._supervisor.stop(time.monotonic() + seconds)

    def _callers(self, context):
        bounds = self.settings.bounds
        return Listener(
            build_callers_application(context),
            self.settings.callers_address,
            threads=bounds.caller_threads,
            socket_timeout=bounds.socket_timeout_seconds,
            header_bytes=bounds.header_bytes,
        )

    def _operators(self, context):
        return Listener(
            build_operators_application(context),
            self.settings.operators_address,
        )

    def _fail(self, name):
        self._failed.set()
        self._ended.set()
