"""An entry host: all parts of one process under one supervisor."""

import random
import threading
import time

from apricotseam.admission import FairAdmission
from apricotseam.callers import build_callers_application
from apricotseam.callers import CallerContext
from apricotseam.clock import SystemClock
from apricotseam.config import ConfigurationStore
from apricotseam.execution import DirectExecution
from apricotseam.host._children import ConfigurationChild
from apricotseam.host._children import ListenerChild
from apricotseam.host._children import PeersChild
from apricotseam.host._children import TargetsChild
from apricotseam.host._loads import LoadsChild
from apricotseam.host._snapshots import Snapshots
from apricotseam.host._tls import HostTls
from apricotseam.membership import Member
from apricotseam.membership import Membership
from apricotseam.membership import MembershipChild
from apricotseam.operators import build_operators_application
from apricotseam.operators import OperatorContext
from apricotseam.peers import ControlLoop
from apricotseam.peers import PeerTransport
from apricotseam.pipelines import ChainRunner
from apricotseam.pipelines import StepCarrier
from apricotseam.platform import EtcdService
from apricotseam.platform import HttpHostList
from apricotseam.platform import HttpModelEngine
from apricotseam.routing import build_chooser
from apricotseam.routing import ChainPlans
from apricotseam.routing import count_retry
from apricotseam.routing import LinkDistances
from apricotseam.routing import ObservedEngine
from apricotseam.routing import RetryPolicy
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
        self._tls = HostTls(settings)
        http = HttpClient(tls=self._tls.platform_context)
        plans = ChainPlans(lambda address: runner.step_seconds(address))
        chooser = build_chooser(
            settings.choice,
            host=settings.host,
            zone=settings.availability_zone,
            clock=self._clock,
            distances=LinkDistances(lambda: self.snapshots.configuration),
            hosts=self.snapshots.count_entry_hosts,
            plans=plans,
        )
        admission = FairAdmission(
            settings.bounds,
            self._clock,
            table=lambda: self.snapshots.targets,
            hosts=self.snapshots.count_entry_hosts,
        )
        engine = ObservedEngine(
            HttpModelEngine(http),
            chooser,
            self._clock,
            settings.bounds.report_lag_seconds,
            admission.observed,
        )
        service = EtcdService(http, settings.key_value_service)
        store = ConfigurationStore(service, settings.key_prefix)
        runner = ChainRunner(
            engine,
            self._clock,
            settings.bounds.step_timeout_seconds,
            StepCarrier(engine, batch=self.snapshots.max_batch),
        )
        callers = CallerContext(
            settings=settings,
            clock=self._clock,
            http=http,
            runner=runner,
            snapshots=self.snapshots,
            admission=admission,
            chooser=chooser,
            execution=DirectExecution(),
            retries=RetryPolicy(self._clock, on_retry=count_retry),
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
            self._tls.peer_context,
        )
        self.membership = self._membership(loop)
        self._supervisor = Supervisor(
            settings.host,
            [
                self._tls,
                PeersChild(loop, self.transport),
                self.membership,
                ConfigurationChild(store, self.snapshots),
                TargetsChild(
                    host_list,
                    engine,
                    self.snapshots,
                    self.membership,
                    chooser.watched,
                    plans,
                ),
                LoadsChild(http, engine, chooser, self.snapshots, self._clock),
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
        child.follow(self._facts, lambda address, revision: None)
        return child

    def _take_members(self, table):
        self.snapshots.members = table

    def _facts(self):
        configuration = self.snapshots.configuration
        return (configuration.revision if configuration else 0, 0)

    def _callers(self, context):
        bounds = self.settings.bounds
        return Listener(
            build_callers_application(context),
            self.settings.callers_address,
            threads=bounds.caller_threads,
            socket_timeout=bounds.socket_timeout_seconds,
            header_bytes=bounds.header_bytes,
            tls=self._tls.listener_context,
        )

    def _operators(self, context):
        return Listener(
            build_operators_application(context),
            self.settings.operators_address,
            tls=self._tls.listener_context,
        )

    def _fail(self, name):
        self._failed.set()
        self._ended.set()
