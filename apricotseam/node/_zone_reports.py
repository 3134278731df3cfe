"""Reports about all hosts of an availability zone, made by its delegates.

In a large fleet each host sends its state to the delegates of its zone only,
and learns what the other hosts do from the reports of the delegates. The
number of messages of a host therefore does not grow with the fleet.
"""

import collections

import msgspec

from apricotseam.chains import sum_usages
from apricotseam.chains import Usage
from apricotseam.fleet import PaceNotice
from apricotseam.forwarding import RepeatCount
from apricotseam.node._limit_notices import LimitNotice
from apricotseam.node._restarts import without_targets
from apricotseam.node._trait_notices import TraitNotice
from apricotseam.positions import NO_POSITION
from apricotseam.positions import Position
from apricotseam.sharing import DemandCount
from apricotseam.sharing import largest_entries
from apricotseam.sharing import subtract_demand
from apricotseam.sharing import sum_demand

# A host that sent nothing for this long no longer counts in reports.
STATE_EXPIRY_SECONDS = 4.0
# A host that sent nothing for this long is no longer reported as silent.
FORGET_AFTER_SECONDS = 10.0
# Age up to which suspicions, slowness and refusals of hosts are reported.
NOTICE_SECONDS = 1.3
# Own states that are kept until a report shows which of them it includes.
MAX_SENT_STATES = 32
_NO_COUNT = RepeatCount()


class LeavingNotice(msgspec.Struct, frozen=True, array_like=True):
    """Notice that a target process leaves.

    ``born_ms`` is the start time of the process, as in `TargetRecord`.
    ``age_seconds`` is the time since it announced that it leaves.
    """

    born_ms: int
    age_seconds: float


class HostState(msgspec.Struct, frozen=True, array_like=True):
    """State that a host sends its peers several times per second.

    ``usages`` is its work in progress by target, ``suspects`` are targets
    that it cannot reach, ``slow`` holds the slowness factors of targets that
    reported themselves slow, ``refused`` the retry keys of requests that it
    refused recently, and ``repeats`` its counts of retries by service.
    ``number`` counts its messages. ``leaving`` are the targets that, as it
    knows, announced that they leave, ``limits`` those that told it that they
    limit requests or do so no more. ``traits`` is what it knows of traits of
    requests under which targets ended, ``paces`` those of targets that have
    just started or recovered, ``demand`` its counts by class and customer.
    ``restarts`` are the start times in ms of processes that lately took the
    identity of others; what the message says of a target is about these.
    """

    host: str
    zone: str
    number: int
    usages: dict[str, Usage]
    suspects: list[str]
    slow: dict[str, float]
    refused: list[str]
    repeats: dict[str, RepeatCount]
    leaving: dict[str, LeavingNotice] = {}
    limits: dict[str, LimitNotice] = {}
    traits: dict[str, TraitNotice] = {}
    paces: dict[str, PaceNotice] = {}
    demand: dict[str, DemandCount] = {}
    restarts: dict[str, int] = {}

    @property
    def sender(self):
        """Process that the state is about, which sent it."""
        return self.host


class ZoneReport(msgspec.Struct, frozen=True, array_like=True):
    """State of all hosts of an availability zone together.

    ``sender`` is the process that made the report and ``number`` counts its
    reports. ``included`` holds the number of the `HostState` of each host
    that the sums include. ``usages`` and ``repeats`` are sums over these
    hosts; ``other_zones`` is the usage by hosts of the other zones, or None
    if the report does not repeat it. ``silent`` are peer addresses of hosts
    whose states are overdue. ``store_position`` is the position in the store
    that the sender follows, `NO_POSITION` if it does not follow the store.
    ``leaving`` are the targets that, as the sender knows, announced that they
    leave, ``limits`` those that told any host about limits, ``traits`` are
    traits of requests under which targets ended at any host. ``paces`` are
    those of paced targets. ``demand`` is the sum over the same hosts as
    ``usages`` and, as the sender knows it, over those of the other zones.
    ``restarts`` is as in `HostState`, as the sender knows.
    """

    zone: str
    sender: str
    number: int
    included: dict[str, int]
    usages: dict[str, Usage]
    other_zones: dict[str, Usage] | None
    suspects: list[str]
    slow: dict[str, float]
    refused: list[str]
    repeats: dict[str, RepeatCount]
    silent: list[str]
    store_position: Position
    leaving: dict[str, LeavingNotice] = {}
    limits: dict[str, LimitNotice] = {}
    traits: dict[str, TraitNotice] = {}
    paces: dict[str, PaceNotice] = {}
    demand: dict[str, DemandCount] = {}
    restarts: dict[str, int] = {}


def is_newer(message, known):
    """Return whether a message replaces the last one of the same kind.

    Each process numbers its own messages from 1.

    Parameters
    ----------
    message : HostState, ZoneReport or ZoneState
        The message, with the process that ``sender`` names.
    known : HostState, ZoneReport, ZoneState or None
        The last one, None if there is none.
    """
    if known is None or known.sender != message.sender:
        return True
    return known.number < message.number


class ReceivedState(msgspec.Struct, frozen=True):
    """A `HostState`, its sender's peer address and the time of its receipt."""

    address: str
    state: HostState
    received_at: float


class ZoneCollector:
    """Latest state of each host of a zone, as received by a delegate.

    All times are monotonic, in seconds.
    """

    def __init__(self):
        self._received = {}
        self._refused_at = {}

    def receive(self, address, state, now):
        """Record a state; return whether it is newer than the known one.

        Parameters
        ----------
        address : str
            Peer address of the host.
        state : HostState
            The state.
        now : float
            Time of its receipt.
        """
        known = self._received.get(address)
        if not is_newer(state, known.state if known else None):
            return False
        self._received[address] = ReceivedState(address, state, now)
        for retry_key in state.refused:
            self._refused_at[retry_key] = now
        return True

    def forget_target(self, identity):
        """Forget what was said of a target whose process has ended."""
        self._received = {
            address: msgspec.structs.replace(
                received, state=without_targets(received.state, {identity})
            )
            for address, received in self._received.items()
        }

    def states(self, now):
        """Return the `HostState` of each host that sent one recently."""
        return [
            received.state
            for received in self._received.values()
            if now - received.received_at < STATE_EXPIRY_SECONDS
        ]

    def silent(self, silent_after, now):
        """Return the addresses of hosts that sent nothing for too long.

        Parameters
        ----------
        silent_after : float
            Seconds after which a state is overdue.
        now : float
            Current time.
        """
        self._forget(now)
        return [
            received.address
            for received in self._received.values()
            if now - received.received_at > silent_after
        ]

    def make_report(self, own, number, silent_after, now):
        """Return a `ZoneReport` of this host's state and the received ones.

        Parameters
        ----------
        own : HostState
            State of this host.
        number : int
            Number of the report.
        silent_after : float
            Seconds after which a state is overdue.
        now : float
            Current time.
        """
        silent = self.silent(silent_after, now)
        states = [own, *self.states(now)]
        noticed = [own, *self._noticed(now)]
        slow = {}
        for state in noticed:
            for target, factor in state.slow.items():
                slow[target] = max(factor, slow.get(target, 0.0))
        return ZoneReport(
            zone=own.zone,
            sender=own.host,
            number=number,
            included={state.host: state.number for state in states},
            usages=sum_usages(state.usages for state in states),
            other_zones=None,
            suspects=own.suspects,
            slow=slow,
            refused=[*self._refused_at, *own.refused],
            repeats=_sum_repeats(state.repeats for state in states),
            silent=silent,
            store_position=NO_POSITION,
            leaving=own.leaving,
            demand=largest_entries(
                sum_demand(state.demand for state in states)
            ),
            restarts=own.restarts,
        )

    def _noticed(self, now):
        return [
            received.state
            for received in self._received.values()
            if now - received.received_at < NOTICE_SECONDS
        ]

    def _forget(self, now):
        self._received = {
            address: received
            for address, received in self._received.items()
            if now - received.received_at < FORGET_AFTER_SECONDS
        }
        self._refused_at = {
            retry_key: refused_at
            for retry_key, refused_at in self._refused_at.items()
            if now - refused_at < NOTICE_SECONDS
        }


class OtherHosts(msgspec.Struct, frozen=True):
    """What a report says about the hosts other than the receiver.

    ``hosts`` is their number, ``usages``, ``repeats`` and ``demand`` are
    sums.
    """

    hosts: int
    usages: dict[str, Usage]
    repeats: dict[str, RepeatCount]
    demand: dict[str, DemandCount] = {}


class SentStates:
    """States that this host sent, to take its own part out of reports."""

    def __init__(self):
        self._states = collections.OrderedDict()

    def add(self, state):
        """Record a state that is being sent."""
        self._states[state.number] = state
        if len(self._states) > MAX_SENT_STATES:
            self._states.popitem(last=False)

    def forget_target(self, identity):
        """Forget this host's part in a target whose process has ended."""
        for number, state in self._states.items():
            self._states[number] = without_targets(state, {identity})

    def others(self, report, host):
        """Return the `OtherHosts` of a report.

        Parameters
        ----------
        report : ZoneReport
            The report.
        host : str
            Identifier of this process.
        """
        own = self._states.get(report.included.get(host))
        hosts = len(report.included) - (host in report.included)
        if own is None:
            return OtherHosts(
                hosts, report.usages, report.repeats, report.demand
            )
        return OtherHosts(
            hosts,
            _subtract_usages(report.usages, own.usages),
            _subtract_repeats(report.repeats, own.repeats),
            subtract_demand(report.demand, own.demand),
        )


def _subtract_usages(total, part):
    rest = {}
    for target, usage in total.items():
        own = part.get(target, Usage())
        units = max(0.0, usage.units - own.units)
        requests = max(0, usage.requests - own.requests)
        start_ms = max(0.0, usage.start_ms - own.start_ms)
        if requests or start_ms:
            rest[target] = Usage(units, requests, start_ms)
    return rest


def _subtract_repeats(total, part):
    return {
        service: RepeatCount(
            max(0, count.requests - part.get(service, _NO_COUNT).requests),
            max(0, count.repeats - part.get(service, _NO_COUNT).repeats),
        )
        for service, count in total.items()
    }


def _sum_repeats(counts):
    total = {}
    for by_service in counts:
        for service, count in by_service.items():
            known = total.get(service, _NO_COUNT)
            total[service] = RepeatCount(
                known.requests + count.requests,
                known.repeats + count.repeats,
            )
    return total
