"""Any value in any field of an entry, through to the decisions that use it."""

import asyncio
import json
import types

from hypothesis import given
from hypothesis import strategies as st

from apricotseam.chains import choose_orders
from apricotseam.chains import Ledger
from apricotseam.coordination import Hosts
from apricotseam.coordination import MirrorItem
from apricotseam.errors import InvalidInputError
from apricotseam.fleet import Fleet
from apricotseam.forwarding import TargetSelector
from apricotseam.membership import Facts
from apricotseam.membership import Member
from apricotseam.node._quarantine_keeper import QUARANTINE_PREFIX
from apricotseam.node._quarantine_keeper import QuarantineKeeper
from apricotseam.node._store_items import HOSTS_PREFIX
from apricotseam.node._store_items import StoreItemHandler
from apricotseam.node.tests.test_odd_entries import host_entry
from apricotseam.node.tests.test_odd_entries import quarantine_entry
from apricotseam.peers import PeerTransport
from apricotseam.platform import decode_configuration
from apricotseam.platform import decode_report
from apricotseam.platform.standins import ENGINE_SERVICE
from apricotseam.platform.standins import sample_configuration
from apricotseam.platform.standins import TargetStandIn
from apricotseam.platform import TARGETS_PREFIX
from apricotseam.positions import Position
from apricotseam.quarantine import Quarantine
from apricotseam.routes import NO_FEATURES

NOW_MS = 1_700_000_000_000
ANY_VALUE = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.integers(-(10**40), 10**40)
    | st.sampled_from([10**400, 1 << 62, 1 << 64, 5e-324, 1e308])
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=10)
    | st.sampled_from(["10.0.0.9:80", "a..b:80", "x:99999", "z" * 5000])
    | st.dictionaries(
        st.sampled_from(["From", "Target"]), st.integers(-9, 1 << 62)
    )
    | st.lists(st.integers(), max_size=2)
)


def changed(entry):
    """Return a strategy of an entry with any value in some fields."""
    fields = json.loads(entry)
    changes = st.dictionaries(
        st.sampled_from(sorted(fields)), ANY_VALUE, min_size=1, max_size=3
    )
    return changes.map(lambda found: json.dumps(fields | found).encode())


def make_handler():
    """Return a handler of entries, and the fleet that it updates."""
    table = decode_configuration(
        json.dumps(sample_configuration()).encode(), Position(1)
    )
    context = types.SimpleNamespace(fleet=Fleet(), table=table)
    return StoreItemHandler(context, lambda: False, lambda: 0.0), context


def target_entry(identity, layers):
    """Return the entry of an engine."""
    target = TargetStandIn(identity, f"10.0.0.{identity[1]}:80", True)
    target.layers = layers
    return target.entry()


SOUND = {"e1": (0, 2), "e2": (2, 4), "e3": None}


@given(value=changed(target_entry("e4", (0, 2))) | st.binary(max_size=40))
def test_any_entry_of_a_target(value):
    """Guards against hosts that end or hang on the entry of a target."""
    handler, context = make_handler()
    for number, (identity, layers) in enumerate(SOUND.items(), 1):
        key = TARGETS_PREFIX + identity
        entry = target_entry(identity, layers)
        handler.apply(MirrorItem(key, entry, Position(number)))
    handler.apply(MirrorItem(TARGETS_PREFIX + "e4", value, Position(9)))
    service = context.table.services[ENGINE_SERVICE]
    records = [t.record for t in context.fleet.of_service(service.name)]
    for kept in (records, records[1:], records[:1] + records[3:]):
        for order in choose_orders(kept, service.engine):
            assert 0 <= order.layers.first < order.layers.last
            assert order.layers.last <= service.engine.layers
    call = types.SimpleNamespace(
        metadata=types.SimpleNamespace(
            prompt_tokens=10, expected_answer_tokens=10, max_answer_tokens=None
        ),
        service=service,
        failed_targets=set(),
        load=NO_FEATURES,
    )
    selector = TargetSelector(context.fleet, Ledger(), "a")
    choice = selector.choose_chain(call, 0.0)
    assert choice is None or choice.path[-1].layers.last == 4


class PackingTransport(PeerTransport):
    """Transport that encodes messages and sends none."""

    def _enqueue(self, address, envelope):
        """Drop an encoded message."""


@given(value=changed(host_entry()) | st.binary(max_size=40))
def test_any_entry_of_a_host(value):
    """Guards against hosts that end on the entry of another host."""
    handler, _ = make_handler()
    handler.apply(MirrorItem(HOSTS_PREFIX + "odd", value, Position(9)))
    handler.count_peers("a")
    own = Member(
        name="own",
        peers_address="10.0.0.1:1",
        callers_address="10.0.0.1:2",
        operators_address="",
        availability_zone="a",
        incarnation=1,
    )
    now = [0.0]
    transport = PackingTransport(None, own.peers_address, 1)
    hosts = Hosts(own, transport, Facts, lambda: now[0])
    records = handler.host_records
    for record in records.values():
        hosts.add_listed({"odd": record}, record.started_ms)
        hosts.set_seeds([record.peers_address])
    for _ in range(30):
        now[0] += 0.2
        hosts._send(hosts._membership.tick(now[0]))
    assert not records or len(hosts.table.all) == 2


@given(value=changed(quarantine_entry()) | st.binary(max_size=40))
def test_any_entry_of_quarantine(value):
    """Guards against hosts that end on what is held back."""
    now = [100.0]
    quarantine = Quarantine(lambda: now[0])
    mirror = types.SimpleNamespace(with_prefix=lambda prefix: [item])
    item = MirrorItem(QUARANTINE_PREFIX + "odd", value, Position(9))

    async def keep():
        keeper = QuarantineKeeper(
            None, mirror, quarantine, lambda: 0, lambda: now[0]
        )
        keeper.apply(item)
        keeper._outdated()

    asyncio.run(keep())
    quarantine.find_hold(["part:1f"], "c")
    quarantine.expire()


REPORT = json.dumps(
    {
        "Busy": False,
        "Sequence": 2,
        "Active": 1,
        "Queued": 1,
        "KvUsed": 10,
        "KvTotal": 20,
        "pace": 1.5,
        "born": 1,
        "Layers": {"From": 0, "Target": 2},
        "Stalled": [{"Id": "r", "Address": "h:1"}],
    }
)


@given(body=changed(REPORT) | st.binary(max_size=40))
def test_any_report_of_a_target(body):
    """Guards against hosts that end on the report of a target."""
    try:
        report = decode_report(body)
    except InvalidInputError:
        return
    assert 0 <= report.orders < 1 << 62
    assert 0 <= round(report.used_units) + report.queued + report.slowness
    assert report.layers is None or report.layers.size > 0
