"""The entry host: all components of one process under a supervisor."""

import random
import threading
import time

from apricotseam.callers import build_callers_application
from apricotseam.callers import CallerContext
from apricotseam.clock import SystemClock
from apricotseam.config import ConfigurationStore
from apricotseam.execution import TransportLink
from apricotseam.external import EtcdService
from apricotseam.external import HttpHostList
from apricotseam.host._children import ListenerChild
from apricotseam.host._children import PeersChild
from apricotseam.host._configuration import ConfigurationChild
from apricotseam.host._drain import Drain
from apricotseam.host._drainmiddleware import DrainMiddleware
from apricotseam.host._execution import build_execution
from apricotseam.host._execution import ClaimsChild
from apricotseam.host._hostlist import HostListChild
from apricotseam.host._hostlist import HOSTS
from apricotseam.host._leaving import LINGER_SECONDS
from apricotseam.host._leaving import ShutdownChild
from apricotseam.host._loads import LoadsChild
from apricotseam.host._orders import build_orders
from apricotseam.host._policy import RequestPolicy
from apricotseam.host._reports import ReportSchedule
from apricotseam.host._reports import TargetsChild
from apricotseam.host._revisions import RevisionChecker
from apricotseam.host._shares import SharesChild
from apricotseam.host._snapshots import Snapshots
from apricotseam.host._tls import HostTls
from apricotseam.membership import DocumentReplicator
from apricotseam.membership import Facts
from apricotseam.membership import Member
from apricotseam.membership import Membership
from apricotseam.membership import MembershipChild
from apricotseam.operators import build_operators_application
from apricotseam.operators import OperatorContext
from apricotseam.peers import ControlLoop
from apricotseam.peers import PeerTransport
from apricotseam.pipelines import ChainRunner
from apricotseam.pipelines import StepBatcher
from apricotseam.routing import ChainPlans
from apricotseam.supervision import Supervisor
from apricotseam.web import HttpClient
from apricotseam.web import Listener

MS_PER_SECOND = 1000
STOP_CHECK_SECONDS = 0.2


class EntryHost:
    """Builds and runs the components of one entry host.

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
        self._stopped = threading.Event()
        self.snapshots = Snapshots(settings)
        self._tls = HostTls(settings)
        self._http = HttpClient(tls=self._tls.platform_context)
        self._service = EtcdService(self._http, settings.key_value_service)
        self._store = ConfigurationStore(self._service, settings.key_prefix)
        self._loop = ControlLoop()
        self.transport = PeerTransport(
            self._loop,
            settings.peers_address,
            int(self._clock.wall() * MS_PER_SECOND),
            self._tls.peer_context,
        )
        self._build_request_path()
        self._build_coordination()
        self._shutdown = self._make_shutdown()
        self._callers_listener = self._make_callers_listener()
        self._supervisor = Supervisor(
            settings.host, self._children(), self._on_child_failed
        )

    @property
    def has_failed(self):
        """Whether a component failed too often."""
        return self._failed.is_set()

    @property
    def is_ready(self):
        """Whether there are a configuration and targets to serve with."""
        snapshots = self.snapshots
        return snapshots.configuration is not None and bool(
            snapshots.targets.all
        )

    def start(self):
        """Start all components."""
        self._supervisor.start()

    def request_stop(self):
        """Request a graceful shutdown; return at once."""
        self._shutdown.request()

    def wait(self):
        """Wait until the shutdown is over or its component failed."""
        while not self._stopped.wait(STOP_CHECK_SECONDS):
            pass

    def stop(self):
        """Stop all components within ``bounds.stop_timeout_seconds``.

        Returns
        -------
        list of str
            Names of the components that did not end in time.
        """
        seconds = self.settings.bounds.stop_timeout_seconds
        return self._supervisor.stop(time.monotonic() + seconds)

    def abort(self):
        """Stop at once, as a killed process would; for demonstrations."""
        self._callers_listener.abort()
        self._supervisor.stop(time.monotonic())

    def _build_request_path(self):
        """Build the components that a caller's request passes through."""
        settings = self.settings
        self._plans = ChainPlans(lambda address: runner.step_seconds(address))
        self._policy = policy = RequestPolicy(
            settings,
            self._clock,
            self.snapshots,
            self._http,
            self._plans,
            self.transport,
        )
        runner = ChainRunner(
            policy.engine,
            self._clock,
            settings.bounds.step_timeout_seconds,
            StepBatcher(policy.engine, batch=self.snapshots.max_batch),
        )
        execution, self._claim_batches = build_execution(
            settings,
            self._clock,
            self._service,
            TransportLink(self.transport, self._loop),
            self._live_peer_addresses,
        )
        callers = CallerContext(
            settings=settings,
            clock=self._clock,
            http=self._http,
            runner=runner,
            snapshots=self.snapshots,
            admission=policy.admission,
            chooser=policy.chooser,
            execution=execution,
            retries=policy.retries,
        )
        self._drain_middleware = DrainMiddleware(
            build_callers_application(callers)
        )

    def _build_coordination(self):
        """Build membership, configuration and host list."""
        self.membership = self._make_membership(self._loop)
        self._replicator = DocumentReplicator(
            self._loop, self.transport, lambda: self.membership.partners
        )
        self._configuration = ConfigurationChild(
            self._service,
            self._store,
            self._replicator,
            self.snapshots,
            self._clock,
        )
        self._host_list = HostListChild(
            HttpHostList(self._http, self.settings.host_list),
            self._replicator,
            self.snapshots,
            self.membership,
            self._clock,
        )

    def _children(self):
        """Return the supervised components in their order of start."""
        policy = self._policy
        targets = TargetsChild(
            policy.engine,
            self.snapshots,
            ReportSchedule(),
            policy.chooser.watched,
            self._plans,
        )
        orders = build_orders(
            self.settings,
            self._clock,
            self._http,
            self._service,
            self.snapshots,
        )
        return [
            self._tls,
            PeersChild(self._loop, self.transport),
            ClaimsChild(self._claim_batches),
            self.membership,
            self._configuration,
            self._host_list,
            targets,
            SharesChild(self._loop, policy.limits),
            orders,
            LoadsChild(self._http, policy, self.snapshots, self._clock),
            self._shutdown,
            ListenerChild("operators", self._make_operators_listener()),
            ListenerChild("callers", self._callers_listener),
        ]

    def _make_operators_context(self):
        revision_checker = RevisionChecker(
            self._loop, self.transport, self.snapshots
        )
        return OperatorContext(
            self.settings,
            self._clock,
            self._store,
            self.snapshots,
            self.request_stop,
            revision_checker.spread_state,
            self._plans,
        )

    def _make_membership(self, loop):
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
            self._set_members,
        )
        child.set_callbacks(self._facts, self._record_peer_revisions)
        return child

    def _set_members(self, table):
        self.snapshots.members = table

    def _live_peer_addresses(self):
        live = self.snapshots.members.live()
        return [member.peers_address for member in live]

    def _facts(self):
        self._configuration.update(self.membership.last_heard)
        configuration = self.snapshots.configuration
        return Facts(
            revision=configuration.revision if configuration else 0,
            host_list_revision=self._host_list.revision,
            load=self._drain_middleware.in_progress,
        )

    def _record_peer_revisions(self, peer, revision, list_revision):
        self._configuration.handle_peer_revision(peer, revision)
        self._replicator.record_peer_revision(peer, HOSTS, list_revision)

    def _make_shutdown(self):
        bounds = self.settings.bounds
        drain = Drain(
            valid_seconds=bounds.address_valid_seconds,
            margin_seconds=bounds.leaving_margin_seconds,
            linger_seconds=LINGER_SECONDS,
        )
        return ShutdownChild(
            drain,
            self._drain_middleware,
            self.membership.announce_leaving,
            lambda seconds: self._callers_listener.finish(seconds),
            self._stopped.set,
            self._clock,
            bounds.stop_timeout_seconds,
        )

    def _make_callers_listener(self):
        bounds = self.settings.bounds
        return Listener(
            self._drain_middleware,
            self.settings.callers_address,
            threads=bounds.caller_threads,
            socket_timeout=bounds.socket_timeout_seconds,
            header_bytes=bounds.header_bytes,
            tls=self._tls.listener_context,
        )

    def _make_operators_listener(self):
        return Listener(
            build_operators_application(self._make_operators_context()),
            self.settings.operators_address,
            tls=self._tls.listener_context,
        )

    def _on_child_failed(self, name):
        self._failed.set()
        self.request_stop()
        if name == ShutdownChild.name:
            self._stopped.set()
