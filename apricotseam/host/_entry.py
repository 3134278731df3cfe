"""An entry host: all parts of one process under one supervisor."""

import random
import threading
import time

from apricotseam.admission import OpenAdmission
from apricotseam.callers import build_callers_application
from apricotseam.callers import CallerContext
from apricotseam.clock import SystemClock
from apricotseam.config import ConfigurationStore
from apricotseam.execution import DirectExecution
from apricotseam.host._children import ListenerChild
from apricotseam.host._children import PeersChild
from apricotseam.host._configuration import ConfigurationChild
from apricotseam.host._hostlist import HostListChild
from apricotseam.host._hostlist import HOSTS
from apricotseam.host._reports import ReportPlan
from apricotseam.host._reports import TargetsChild
from apricotseam.host._snapshots import Snapshots
from apricotseam.membership import Facts
from apricotseam.membership import Member
from apricotseam.membership import Membership
from apricotseam.membership import MembershipChild
from apricotseam.membership import Spread
from apricotseam.operators import build_operators_application
from apricotseam.operators import OperatorContext
from apricotseam.peers import ControlLoop
from apricotseam.peers import peer_tls_context
from apricotseam.peers import PeerTransport
from apricotseam.pipelines import ChainRunner
from apricotseam.platform import EtcdService
from apricotseam.platform import HttpHostList
from apricotseam.platform import HttpModelEngine
from apricotseam.routing import RandomChooser
from apricotseam.supervision import Supervisor
from apricotseam.web import HttpClient
from apricotseam.web import Listener

MILLISECONDS = 1000


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
            execution=DirectExecution(),
        )
        operators = OperatorContext(
            settings, self._clock, store, self.snapshots, self.request_stop
        )
        host_list = HttpHostList(http, settings.host_list)
        loop = ControlLoop()
        self.transport = PeerTransport(
            loop,
            settings.peers_address,
            int(self._clock.wall() * MILLISECONDS),
            peer_tls_context(settings.peer_tls),
        )
        self.membership = self._membership(loop)
        self._spread = spread = Spread(
            loop, self.transport, lambda: self.membership.partners
        )
        self._configuration = ConfigurationChild(
            service, store, spread, self.snapshots, self._clock
        )
        self._host_list = HostListChild(
            host_list, spread, self.snapshots, self.membership, self._clock
        )
        plan = ReportPlan(settings.host, settings.availability_zone)
        self._supervisor = Supervisor(
            settings.host,
            [
                PeersChild(loop, self.transport),
                self.membership,
                self._configuration,
                self._host_list,
                TargetsChild(engine, self.snapshots, plan),
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

    def _membership(self, loop):
        settings = self.settings
        own = Member(
            name=settings.host,
            peers_address=settings.peers_address,
            callers_address=settings.callers_address,
            operators_address=settings.operators_address,
            availability_zone=settings.availability_zone,
            incarnation=self.transport.incarnation,
        )
        membership = Membership(own, random.Random(), self._clock.monotonic())
        child = MembershipChild(
            loop,
            self.transport,
            membership,
            self._clock,
            self._take_members,
        )
        child.follow(self._facts, self._hear)
        return child

    def _take_members(self, table):
        self.snapshots.members = table

    def _facts(self):
        self._configuration.update(self.membership.last_heard)
        configuration = self.snapshots.configuration
        return Facts(
            revision=configuration.revision if configuration else 0,
            listed=self._host_list.revision,
        )

    def _hear(self, peer, revision, listed):
        self._configuration.hear(peer, revision)
        self._spread.hear(peer, HOSTS, listed)

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
