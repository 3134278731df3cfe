"""Requests that pass through another host, over real connections."""

import asyncio
import dataclasses

import msgspec
import pytest

from apricotseam.forwarding._answering import Refusal
from apricotseam.http1 import connect
from apricotseam.http1 import ConnectError
from apricotseam.http1 import RefusedConnectionError
from apricotseam.http1 import Request
from apricotseam.node._reach_control import ReachControl
from apricotseam.node._reach_control import ReachStatus
from apricotseam.node.tests.harness import run
from apricotseam.platform.standins import caller_headers
from apricotseam.platform.standins import ENGINE_SERVICE
from apricotseam.platform.standins import PLAIN_SERVICE
from apricotseam.relay import relayed_headers
from apricotseam.relay import RelayHop

SERVICES = tuple(sorted([ENGINE_SERVICE, PLAIN_SERVICE]))
EVENTS = [f"id: {n}\ndata: t{n}\n\n".encode() for n in range(1, 5)]
COMPLETE_BODY = b"".join(EVENTS)
# Longest time after which a caller's close must have reached a target.
CANCEL_SECONDS = 0.5
WAYS = ["refused", "hangs"]


@dataclasses.dataclass(slots=True)
class Cut:
    """A node whose connections to targets fail."""

    way: str

    async def open(self, address, deadline):
        """Fail to open a connection."""
        if self.way == "refused":
            raise RefusedConnectionError(f"{address} refused", "try another")
        loop = asyncio.get_running_loop()
        await asyncio.sleep(max(0.0, deadline - loop.time()))
        raise ConnectError(f"{address} is silent", "try another")


def cut_off(node, way="refused"):
    """Cut a node off from the targets; kept connections are lost."""
    pool = node.forwarding.pool
    pool.open = Cut(way).open
    for target in node.forwarding.fleet:
        pool.drop(target.incarnation)


async def cut_and_notice(platform, index, way="refused"):
    """Cut a node off and wait until it and the others know.

    Nodes that do not know of one another yet have nobody to ask.
    """
    await meet(platform)
    node = platform.nodes[index]
    cut_off(node, way)
    reach = node.forwarding.prober.reach
    for service in SERVICES:
        await reach.is_connected(service)
    assert reach.lost_services == SERVICES
    others = [n for n in platform.nodes if n is not node]
    await platform.wait_until(
        lambda: all(knows_cut_off(other, node) for other in others)
    )


async def meet(platform):
    """Wait until all nodes know of one another."""
    count = len(platform.nodes)
    await platform.wait_until(
        lambda: all(len(n._hosts.table) == count for n in platform.nodes)
    )


def knows_cut_off(node, other):
    """Return whether a node knows that another one is cut off."""
    member = node._hosts.table.find(other._settings.peers_address)
    return member is not None and member.lost_services == SERVICES


def received(platform):
    """Return the requests that all targets received."""
    targets = [*platform.engine_targets, *platform.plain_targets]
    return [request for target in targets for request in target.requests]


# Guards against a host that refuses what others could send to the targets.
@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize(
    ("path", "expected"),
    [
        ("/chat/x?y=1", COMPLETE_BODY),
        ("/once/x", b"answer"),
        ("/read/x", b"answer"),
        ("/feed/x", COMPLETE_BODY),
    ],
)
def test_first_request_of_a_host_that_is_cut_off_is_served(
    way, path, expected
):
    async def scenario(platform):
        await meet(platform)
        cut_off(platform.nodes[0], way)
        answer = await platform.send_request(path)
        return answer, received(platform)

    (status, answer, body), requests = run(scenario, hosts=3)
    assert (status, body) == (200, expected)
    assert answer.header(b"apricotseam-server-signature") == "stand-in"
    assert answer.header(b"apricotseam-request-id") == "r1"
    (request,) = requests
    assert request.target == path.encode()
    assert request.header(b"apricotseam-tenant") == "c"
    assert request.header(b"apricotseam-key") == ""
    assert request.header(b"relay-hop") == ""
    assert 0 < int(request.header(b"apricotseam-deadline-ms")) < 3000


# What a target does, path, and the status that the caller gets.
ANSWERS = [
    ("error", "/once/x", 500),
    ("cut", "/once/x", 502),
    ("shed", "/once/x", 503),
]


@pytest.mark.parametrize(("behaviour", "path", "expected"), ANSWERS)
def test_failures_come_through_as_said(behaviour, path, expected):
    async def scenario(platform):
        for target in platform.plain_targets:
            target.behaviour = behaviour
        await cut_and_notice(platform, 0)
        status, answer, _ = await platform.send_request(path)
        return status, answer, sum(len(t.runs) for t in platform.plain_targets)

    status, answer, runs = run(scenario, hosts=2)
    assert status == expected
    assert runs <= 1
    assert bool(answer.header(b"retry-after")) is (expected == 503)


def test_running_stream_goes_on_through_another_host():
    async def scenario(platform):
        for target in platform.engine_targets:
            target.event_seconds = 0.2
        await meet(platform)
        sent = asyncio.create_task(platform.send_request("/chat/x"))
        await platform.wait_until(lambda: received(platform))
        await asyncio.sleep(0.3)
        cut_off(platform.nodes[0])
        for connection in list(platform.engine_targets[0]._server.connections):
            connection.abort()
        return await sent

    status, _, body = run(scenario, hosts=2)
    assert (status, body) == (200, COMPLETE_BODY)


def test_request_passes_through_one_other_host_at_most():
    async def scenario(platform):
        # All but one are cut off, and don't know it yet.
        for node in platform.nodes[:3]:
            cut_off(node)
        await cut_and_notice(platform, 0)
        statuses = []
        for number in range(4):
            status, _, _ = await platform.send_request(
                "/read/x", Apricotseam_Request_Id=f"r{number}"
            )
            statuses.append(status)
        return statuses, len(received(platform))

    assert run(scenario, hosts=4) == ([200] * 4, 4)


def test_all_hosts_that_are_cut_off_refuse_at_once():
    async def scenario(platform):
        for index in range(2):
            await cut_and_notice(platform, index)
        loop = asyncio.get_running_loop()
        begun_at = loop.time()
        status, answer, _ = await platform.send_request("/chat/x")
        return status, answer, loop.time() - begun_at

    status, answer, seconds = run(scenario, hosts=2)
    assert status == 503
    assert float(answer.header(b"retry-after")) >= 1.0
    assert seconds < 0.3


@pytest.mark.parametrize("path", ["/chat/x", "/feed/x"])
def test_close_of_the_caller_reaches_the_target(path):
    async def scenario(platform):
        targets = [*platform.engine_targets, *platform.plain_targets]
        for target in targets:
            target.event_seconds = 0.5
        await cut_and_notice(platform, 0)
        loop = asyncio.get_running_loop()
        connection = await connect(
            platform.settings[0].callers_address, loop.time() + 1.0
        )
        connection.send(b"POST", path.encode(), caller_headers())
        await platform.wait_until(lambda: received(platform))
        connection.close()
        closed_at = loop.time()
        await platform.wait_until(lambda: any(t.ended for t in targets))
        return loop.time() - closed_at

    assert run(scenario, hosts=2) < CANCEL_SECONDS


# Headers with which a caller pretends to be a host, address, status.
PRETENCES = [
    ("at the callers' address", "callers_address", {}, 401),
    ("at the hosts' address", "relay_address", {}, 401),
    ("without a hop", "relay_address", {"Relay_Hop": "x"}, 503),
]


# Guards against callers that skip a check by pretending to be a host.
@pytest.mark.parametrize(
    ("address", "changes", "expected"),
    [case[1:] for case in PRETENCES],
    ids=[case[0] for case in PRETENCES],
)
def test_relayed_requests_get_all_checks(address, changes, expected):
    async def scenario(platform):
        loop = asyncio.get_running_loop()
        connection = await connect(
            getattr(platform.settings[0], address), loop.time() + 1.0
        )
        headers = caller_headers({"Apricotseam_Key": "other"})
        hop = RelayHop(host="h", service="s", seconds_left=1.0, position=0)
        headers = relayed_headers(Request(b"POST", b"/", headers), hop)
        if changes:
            headers = caller_headers({"Apricotseam_Key": "other", **changes})
        connection.send(b"POST", b"/once/x", headers)
        answer = await connection.head(loop.time() + 1.0)
        connection.close()
        return answer.status, received(platform)

    assert run(scenario) == (expected, [])


def test_clients_that_are_no_hosts_are_turned_away():
    async def scenario(platform):
        node = platform.nodes[0]
        node.forwarding.relay_hosts.is_known = lambda ip: False
        loop = asyncio.get_running_loop()
        connection = await connect(
            platform.settings[0].relay_address, loop.time() + 1.0
        )
        hop = RelayHop(host="h", service="s", seconds_left=1.0, position=0)
        request = Request(b"POST", b"/once/x", caller_headers())
        connection.send(b"POST", b"/once/x", relayed_headers(request, hop))
        answer = await connection.head(loop.time() + 1.0)
        connection.close()
        cause = answer.header(b"relay-declined")
        return answer.status, cause, received(platform)

    assert run(scenario) == (503, "unknown_host", [])


# Guards against a host that has just started, which others don't know yet, and
# whose callers would be told that their requests are forbidden.
def test_caller_is_not_told_that_its_host_is_unknown():
    async def scenario(platform):
        await cut_and_notice(platform, 0)
        for node in platform.nodes[1:]:
            node.forwarding.relay_hosts.is_known = lambda ip: False
        status, answer, _ = await platform.send_request("/once/x")
        return status, answer.header(b"retry-after"), received(platform)

    status, retry_after, requests = run(scenario, hosts=3)
    assert (status, requests) == (503, [])
    assert retry_after


# Guards against a slow answer that is taken for the failure of a host.
def test_slow_answer_through_another_host_is_waited_for():
    async def scenario(platform):
        for target in platform.plain_targets:
            target.answer_seconds = 1.5
        await cut_and_notice(platform, 0)
        status, _, _ = await platform.send_request("/read/x")
        relayed = platform.nodes[0].forwarding.metrics.relayed.collect()
        counts = {s.labels["outcome"] for s in relayed[0].samples}
        return status, counts

    assert run(scenario, hosts=3) == (200, {"200"})


# Guards against a wait for a host that stands still.
def test_stream_goes_on_if_the_host_that_it_passes_through_falls_silent():
    async def scenario(platform):
        for target in platform.engine_targets:
            target.event_seconds = 0.3
        await cut_and_notice(platform, 0)
        sent = asyncio.create_task(platform.send_request("/chat/x"))
        await platform.wait_until(lambda: received(platform))
        await asyncio.sleep(0.4)
        (through,) = [
            node for node in platform.nodes if node.relay_server.in_progress
        ]
        for connection in through.relay_server.connections:
            connection.transport.write = lambda data: None
        hosts = platform.nodes[0].forwarding.relay_hosts
        failed = through._settings.relay_address
        hosts.has_failed = lambda host: host.address == failed
        return await sent

    status, _, body = run(scenario, hosts=3)
    assert (status, body) == (200, COMPLETE_BODY)


# What the other host lacks.
DECLINING = ["outdated", "leaving", "cut_off"]


@pytest.mark.parametrize("cause", DECLINING)
def test_host_that_is_no_better_declines(cause):
    async def scenario(platform):
        await cut_and_notice(platform, 0)
        other = platform.nodes[1]
        if cause == "outdated":
            other.forwarding.table.position = 0
        elif cause == "leaving":
            other.forwarding.shutdown_at = 0.0
        else:
            cut_off(other)
        status, answer, _ = await platform.send_request("/once/x")
        return status, answer.header(b"relay-declined"), received(platform)

    assert run(scenario, hosts=2) == (503, None, [])


def test_request_counts_once_for_the_retry_budget():
    async def scenario(platform):
        await cut_and_notice(platform, 0)
        for number in range(3):
            await platform.send_request(
                "/read/x", Apricotseam_Request_Id=f"r{number}"
            )
        now = asyncio.get_running_loop().time()
        counts = [
            count
            for node in platform.nodes
            for count in node.forwarding.retry_budget.own_counts(now).values()
        ]
        return sum(c.requests for c in counts), sum(c.repeats for c in counts)

    assert run(scenario, hosts=2) == (3, 0)


# Guards against hosts of an earlier version, which pass nothing on.
def test_host_without_an_address_for_it_is_not_asked():
    async def scenario(platform):
        await cut_and_notice(platform, 0)
        node = platform.nodes[0]
        assert node.forwarding.relay_hosts.choose(ENGINE_SERVICE) is not None
        table = node._hosts.table
        for address, member in list(table._by_address.items()):
            changed = type(member)(
                **{
                    field: getattr(member, field)
                    for field in member.__struct_fields__
                    if field != "relay_address"
                }
            )
            table._by_address[address] = changed
        table._live = None
        return node.forwarding.relay_hosts.choose(ENGINE_SERVICE)

    assert run(scenario, hosts=2) is None


def test_direct_way_is_taken_again_after_a_cut():
    async def scenario(platform):
        node = platform.nodes[0]
        open_connection = node.forwarding.pool.open
        await cut_and_notice(platform, 0)
        node.forwarding.pool.open = open_connection
        await platform.wait_until(
            lambda: not node.forwarding.prober.reach.lost_services
        )
        answer = await platform.send_request("/chat/x")
        return answer[0], node.forwarding.metrics.relayed.collect()

    status, relayed = run(scenario, hosts=2)
    assert status == 200
    assert not relayed[0].samples


def test_operators_see_which_hosts_are_cut_off():
    async def scenario(platform):
        await cut_and_notice(platform, 0)
        found = []
        for node in platform.nodes:
            control = ReachControl(node.forwarding, node._hosts)
            exchange = AnsweredExchange()
            request = Request(b"GET", b"/reach", [])
            assert control.accepts(request)
            control.handle(request, exchange)
            found.append(msgspec.json.decode(exchange.body, type=ReachStatus))
        return found

    own, other = run(scenario, hosts=2)
    assert (own.host, own.targets) == ("host-0", 4)
    assert own.lost_services == list(SERVICES)
    assert not other.lost_services
    cut_off = {"host-0": list(SERVICES)}
    assert own.cut_off_hosts == other.cut_off_hosts == cut_off


class AnsweredExchange:
    """Keeps the body of an answer."""

    def __init__(self):
        self.body = b""

    def answer(self, status, body=b"", headers=()):
        """Record a successful answer."""
        assert status == 200
        self.body = body


# Guards against requests that only fit without the header of the other host.
def test_largest_request_of_a_caller_passes_through():
    async def scenario(platform):
        await cut_and_notice(platform, 0)
        limit = platform.nodes[0]._limits().head_bytes
        filler = "x" * (limit - 900)
        status, _, _ = await platform.send_request("/once/x", Filler=filler)
        return status

    assert run(scenario, hosts=2) == 200


# Guards against a host that ends while a request passes through it.
def test_stream_outlives_the_host_that_it_passes_through():
    async def scenario(platform):
        for target in platform.engine_targets:
            target.event_seconds = 0.2
        await cut_and_notice(platform, 0)
        sent = asyncio.create_task(platform.send_request("/chat/x"))
        await platform.wait_until(lambda: received(platform))
        await asyncio.sleep(0.3)
        (through,) = [
            node for node in platform.nodes if node.relay_server.in_progress
        ]
        through.relay_server.abort()
        return await sent

    status, _, body = run(scenario, hosts=3)
    assert (status, body) == (200, COMPLETE_BODY)


# Guards against a request that runs twice because a host ended.
def test_request_that_may_have_run_is_not_sent_through_another_host():
    async def scenario(platform):
        for target in platform.plain_targets:
            target.answer_seconds = 0.5
        await cut_and_notice(platform, 0)
        sent = asyncio.create_task(platform.send_request("/once/x"))
        await platform.wait_until(lambda: received(platform))
        for node in platform.nodes[1:]:
            node.relay_server.abort()
        status, _, _ = await sent
        return status, sum(len(t.runs) for t in platform.plain_targets)

    assert run(scenario, hosts=3) == (502, 1)


# Guards against a promise of a host that does not know of an earlier run.
def test_refusal_through_another_host_does_not_deny_an_earlier_run():
    async def scenario(platform):
        for target in platform.plain_targets:
            target.answer_seconds = 0.5
        for node in platform.nodes[1:]:
            node.forwarding.quarantine_gate.admit = refuse_all
        await meet(platform)
        sent = asyncio.create_task(platform.send_request("/read/x"))
        await platform.wait_until(lambda: received(platform))
        cut_off(platform.nodes[0])
        for target in platform.plain_targets:
            for connection in list(target._server.connections):
                connection.abort()
        status, _, _ = await sent
        relayed = platform.nodes[0].forwarding.metrics.relayed.collect()
        outcomes = {s.labels["outcome"] for s in relayed[0].samples}
        return status, len(received(platform)), outcomes

    status, requests, outcomes = run(scenario, hosts=2)
    assert (status, requests) == (502, 1)
    assert outcomes == {"declined_refused"}


async def refuse_all(call):
    """Refuse a call, as a quarantine may."""
    return Refusal(cause="quarantined")


# Status of an answer that names no request, and what the caller gets.
NAMELESS = [(503, 502), (408, 502), (404, 404)]


# Guards against a promise that was meant for another request.
@pytest.mark.parametrize(("status", "expected"), NAMELESS)
def test_promise_of_another_host_has_to_name_the_request(status, expected):
    async def answer(request, exchange):
        exchange.answer(status)

    async def scenario(platform):
        platform.nodes[1].relay_server.handler = answer
        await cut_and_notice(platform, 0)
        status, _, _ = await platform.send_request("/once/x")
        return status

    assert run(scenario, hosts=2) == expected


# Method, headers and body of a request, and what must not reach a target.
HEADERS = [
    ("named by Connection", {"Connection": "x-one", "X_One": "1"}, b"x-one"),
    ("of the hop", {"Relay_Hop": "{}"}, b"relay-hop"),
]


@pytest.mark.parametrize(
    ("changes", "dropped"),
    [case[1:] for case in HEADERS],
    ids=[case[0] for case in HEADERS],
)
def test_targets_see_the_same_headers_as_without_another_host(
    changes, dropped
):
    async def scenario(platform):
        await cut_and_notice(platform, 0)
        for index in (0, 1):
            await platform.send_request(
                "/once/x", host_index=index, X_Other="2", **changes
            )
        return received(platform)

    requests = run(scenario, hosts=2)
    assert len(requests) == 2
    names = [
        {name.lower() for name, _ in request.headers} for request in requests
    ]
    assert names[0] - {dropped} == names[1] - {dropped}
    assert dropped not in names[0]
    assert b"x-other" in names[0]
